package org.vanillaslip.internal.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against lost, repeated and unintended changes when an operator applies a list file. */
class ApplyTest {
    private final OperatorFixture mOperator = new OperatorFixture();
    @TempDir Path mDirectory;

    @ParameterizedTest
    @ValueSource(strings = {"mostrador", "hanbit"})
    void applyingAnExampleTwiceChangesNothingTheSecondTime(String name) {
        String file = "../examples/" + name + ".json";

        assertThat(mOperator.runWithoutPlatform("validate", file)).isZero();
        assertThat(mOperator.run("items", "apply", file)).isZero();
        assertThat(mOperator.mOutput).contains("plan.", "created, version").contains(" 0 unch");
        assertThat(mOperator.run("items", "apply", file)).isZero();
        assertThat(mOperator.mOutput).startsWith("0 written, ");
    }

    @Test
    void applyingTheOutputOfAListCommandChangesNothing() throws IOException {
        applyExample();

        assertThat(mOperator.run("plans", "list", "--output", "json")).isZero();
        assertThat(mOperator.run("plans", "apply", writeListFile(mOperator.mOutput))).isZero();

        assertThat(mOperator.mOutput).isEqualTo("0 written, 2 unchanged\n");
    }

    @Test
    void writesOnlyThePlanThatDiffers() throws IOException {
        applyExample();
        long version = mOperator.stored("plan.workshop").version();

        assertThat(mOperator.run("plans", "apply", writePlanFile(5))).isZero();

        assertThat(mOperator.mOutput).contains("plan.counter changed").contains("1 written");
        assertThat(mOperator.stored("plan.counter").spec().at("/item/burstTokens").asInt())
                .isEqualTo(5);
        assertThat(mOperator.stored("plan.workshop").version()).isEqualTo(version);
    }

    @Test
    void reportsBothVersionsOfAConflictAndKeepsTheOtherChange() throws IOException {
        applyExample();
        long readVersion = mOperator.stored("plan.counter").version();
        String file = writePlanFile(5);
        mOperator.mAfterList = () -> mOperator.changeAsAnotherOperator("plan.counter");

        assertThat(mOperator.run("plans", "apply", file)).isEqualTo(3);

        long currentVersion = mOperator.stored("plan.counter").version();
        assertThat(mOperator.mErrors)
                .contains("6002")
                .contains(
                        "version "
                                + readVersion
                                + " was read, version "
                                + currentVersion
                                + " is stored now");
        assertThat(mOperator.stored("plan.counter").spec().at("/item/burstTokens").asInt())
                .isEqualTo(77_777);
    }

    @Test
    void removesUnlistedItemsOnlyWithPruneAndLeavesTombstones() throws IOException {
        applyExample();
        String file = writeListFile("{\"routes\": []}");

        assertThat(mOperator.run("items", "apply", file)).isZero();
        assertThat(mOperator.mOutput).startsWith("0 written");
        assertThat(mOperator.run("items", "apply", file, "--prune")).isZero();

        assertThat(mOperator.mOutput).contains("route./stock removed").contains("6 written");
        assertThat(mOperator.stored("route./stock").spec().get("removed").asBoolean()).isTrue();
        assertThat(mOperator.stored("plan.counter").spec().get("removed").asBoolean()).isFalse();
    }

    @Test
    void reportsAllFaultsTogetherAndWritesNothing() throws IOException {
        applyExample();
        long version = mOperator.mStorage.list("configuration").version();
        String file =
                writeListFile(
                        "{\"plans\": [{\"name\": \"p\", \"models\": [\"none\"], \"adapters\": [],"
                                + "\"tokens_per_second\": -1, \"burst_tokens\": 1}]}");

        assertThat(mOperator.run("plans", "apply", file)).isEqualTo(2);

        assertThat(mOperator.mErrors)
                .contains("6001", "plan.p: models = 'none'", "plan.p: tokens_per_second = '-1'");
        assertThat(mOperator.mStorage.list("configuration").version()).isEqualTo(version);
    }

    @Test
    void rejectsUnknownListsRepeatedNamesAndFieldNamesInCamelCase() throws IOException {
        String file =
                writeListFile(
                        "{\"plan\": [], \"hosts\": [{\"name\": \"h\"}, {\"name\": \"h\"}],"
                                + "\"failure_domains\": [{\"name\": \"a\", \"isDrained\": true}]}");

        assertThat(mOperator.runWithoutPlatform("validate", file)).isEqualTo(2);

        assertThat(mOperator.mErrors).contains("plan = ", "hosts[1]: name = 'h'", "is_drained");
    }

    @Test
    void keepsStoredKeysAndDrainsThatTheFileOmits() throws IOException {
        applyExample();
        mOperator.run("drain", "domain", "a");
        mOperator.run("keys", "add", "taller-rios");
        ObjectNode lists =
                (ObjectNode) new ObjectMapper().readTree(new File(OperatorFixture.EXAMPLE_FILE));
        lists.get("workspaces").forEach(entry -> ((ObjectNode) entry).remove("key_digests"));

        assertThat(mOperator.run("items", "apply", writeListFile(lists.toString()))).isZero();

        assertThat(mOperator.mOutput).startsWith("0 written");
    }

    private void applyExample() {
        assertThat(mOperator.run("items", "apply", OperatorFixture.EXAMPLE_FILE)).isZero();
    }

    private String writePlanFile(int burst) throws IOException {
        return writeListFile(
                "{\"plans\": [{\"name\": \"counter\", \"models\": [], \"adapters\": [],"
                        + "\"tokens_per_second\": 5, \"burst_tokens\": "
                        + burst
                        + "}]}");
    }

    private String writeListFile(String text) throws IOException {
        return Files.writeString(mDirectory.resolve("lists.json"), text).toString();
    }
}
