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

/** Guards against lost, repeated and unintended changes of the operators' lists. */
class ApplyTest {
    private final OperatorFixture mOperator = new OperatorFixture();
    @TempDir Path mDirectory;

    @ParameterizedTest
    @ValueSource(strings = {"mostrador", "hanbit"})
    void appliesAnExampleOnceAndThenFindsNothingToChange(String name) {
        String file = "../examples/" + name + ".json";

        assertThat(mOperator.runWithoutPlatform("validate", file)).isZero();
        assertThat(mOperator.run("items", "apply", file)).isZero();
        assertThat(mOperator.mOutput).contains("plan.", "created, version").contains(" 0 unch");
        assertThat(mOperator.run("items", "apply", file)).isZero();
        assertThat(mOperator.mOutput).startsWith("0 written, ");
    }

    @Test
    void listedPlansCanBeAppliedAgain() throws IOException {
        applyMostrador();

        assertThat(mOperator.run("plans", "list", "--output", "json")).isZero();
        assertThat(mOperator.run("plans", "apply", file(mOperator.mOutput))).isZero();

        assertThat(mOperator.mOutput).isEqualTo("0 written, 2 unchanged\n");
    }

    @Test
    void writesOnlyThePlanThatDiffers() throws IOException {
        applyMostrador();
        long version = mOperator.stored("plan.workshop").version();

        assertThat(mOperator.run("plans", "apply", planFile(5))).isZero();

        assertThat(mOperator.mOutput).contains("plan.counter changed").contains("1 written");
        assertThat(mOperator.stored("plan.counter").spec().at("/item/burstTokens").asInt())
                .isEqualTo(5);
        assertThat(mOperator.stored("plan.workshop").version()).isEqualTo(version);
    }

    @Test
    void namesBothVersionsOfAConflictAndKeepsTheOtherChange() throws IOException {
        applyMostrador();
        long read = mOperator.stored("plan.counter").version();
        String file = planFile(5);
        mOperator.mAfterList = () -> mOperator.changeBehindTheBack("plan.counter");

        assertThat(mOperator.run("plans", "apply", file)).isEqualTo(3);

        long current = mOperator.stored("plan.counter").version();
        assertThat(mOperator.mErrors)
                .contains("6002")
                .contains("version " + read + " was read, version " + current + " is stored now");
        assertThat(mOperator.stored("plan.counter").spec().at("/item/burstTokens").asInt())
                .isEqualTo(77_777);
    }

    @Test
    void removesUnlistedItemsOnlyWhenAskedAndLeavesTombstones() throws IOException {
        applyMostrador();
        String file = file("{\"routes\": []}");

        assertThat(mOperator.run("items", "apply", file)).isZero();
        assertThat(mOperator.mOutput).startsWith("0 written");
        assertThat(mOperator.run("items", "apply", file, "--prune")).isZero();

        assertThat(mOperator.mOutput).contains("route./stock removed").contains("6 written");
        assertThat(mOperator.stored("route./stock").spec().get("removed").asBoolean()).isTrue();
        assertThat(mOperator.stored("plan.counter").spec().get("removed").asBoolean()).isFalse();
    }

    @Test
    void refusesEveryFaultAtOnceAndWritesNothing() throws IOException {
        applyMostrador();
        long version = mOperator.mStorage.list("configuration").version();
        String file =
                file(
                        "{\"plans\": [{\"name\": \"p\", \"models\": [\"none\"], \"adapters\": [],"
                                + "\"tokens_per_second\": -1, \"burst_tokens\": 1}]}");

        assertThat(mOperator.run("plans", "apply", file)).isEqualTo(2);

        assertThat(mOperator.mErrors)
                .contains("6001", "plan.p: models = 'none'", "plan.p: tokens_per_second = '-1'");
        assertThat(mOperator.mStorage.list("configuration").version()).isEqualTo(version);
    }

    @Test
    void refusesUnknownListsRepeatedNamesAndOtherFieldNames() throws IOException {
        String file =
                file(
                        "{\"plan\": [], \"hosts\": [{\"name\": \"h\"}, {\"name\": \"h\"}],"
                                + "\"failure_domains\": [{\"name\": \"a\", \"isDrained\": true}]}");

        assertThat(mOperator.runWithoutPlatform("validate", file)).isEqualTo(2);

        assertThat(mOperator.mErrors).contains("plan = ", "hosts[1]: name = 'h'", "is_drained");
    }

    @Test
    void keepsKeysAndDrainsThatTheFileLeavesOut() throws IOException {
        applyMostrador();
        mOperator.run("drain", "domain", "a");
        mOperator.run("keys", "add", "taller-rios");
        ObjectNode lists =
                (ObjectNode) new ObjectMapper().readTree(new File(OperatorFixture.MOSTRADOR));
        lists.get("workspaces").forEach(entry -> ((ObjectNode) entry).remove("key_digests"));

        assertThat(mOperator.run("items", "apply", file(lists.toString()))).isZero();

        assertThat(mOperator.mOutput).startsWith("0 written");
    }

    private void applyMostrador() {
        assertThat(mOperator.run("items", "apply", OperatorFixture.MOSTRADOR)).isZero();
    }

    private String planFile(int burst) throws IOException {
        return file(
                "{\"plans\": [{\"name\": \"counter\", \"models\": [], \"adapters\": [],"
                        + "\"tokens_per_second\": 5, \"burst_tokens\": "
                        + burst
                        + "}]}");
    }

    private String file(String text) throws IOException {
        return Files.writeString(mDirectory.resolve("lists.json"), text).toString();
    }
}
