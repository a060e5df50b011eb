package org.vanillaslip.internal.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against mistakes in a list file that are found only after it is applied. */
class CheckTest {
    private final OperatorFixture mOperator = new OperatorFixture();
    @TempDir Path mDirectory;

    @ParameterizedTest
    @ValueSource(strings = {"mostrador", "hanbit"})
    void anExampleHasNoFault(String name) {
        assertThat(mOperator.runWithoutPlatform("check", "../examples/" + name + ".json")).isZero();
        assertThat(mOperator.mOutput).isEqualTo("0 faults, 0 differences\n");
    }

    /** Guards against an entry without effect that nobody notices. */
    @ParameterizedTest
    @CsvSource({
        "/workspaces/0, key_digests, [], never used, workspace.",
        "/plans/0, burst_tokens, 0, contradiction, plan.",
        "/plans/0, tokens_per_second, 0, contradiction, plan.",
        "/plans/0, tokens_per_second, -1, error, plan.",
        "/plans/0, models, [], never used, plan.",
        "/workspaces/0, plan, '\"other\"', error, workspace.",
        "/models/0, replicas, {}, never used, model.",
        "/models/0, memory_bytes, 9000000000000, contradiction, model.",
        "/routes/0, name, '\"/quick?x\"', never used, route./quick?x",
        "/routes/0, deadline_millis, 0, error, route."
    })
    void aFaultIsListedWithItsItem(
            String entry, String field, String value, String finding, String item)
            throws IOException {
        String file = writeExample(entry, field, value);

        assertThat(mOperator.runWithoutPlatform("check", file)).isEqualTo(2);

        assertThat(mOperator.mOutput.lines())
                .anySatisfy(line -> assertThat(line).startsWith(finding).contains(item));
        assertThat(mOperator.mOutput).startsWith("finding").doesNotContain("0 faults");
    }

    @Test
    void aPlanThatNobodyHoldsIsListed() throws IOException {
        ObjectNode example = example();
        ObjectNode plan = example.at("/plans/0").deepCopy();
        example.withArray("plans").add(plan.put("name", "nobodys"));

        assertThat(mOperator.runWithoutPlatform("check", write(example))).isEqualTo(2);
        assertThat(mOperator.mOutput).contains("plan.nobodys").contains("no workspace holds");
    }

    /** Guards against a check that changes what it checks, and against a hidden difference. */
    @Test
    void differencesFromTheVersionInForceAreListedAndNothingIsWritten() throws IOException {
        assertThat(mOperator.run("items", "apply", OperatorFixture.EXAMPLE_FILE)).isZero();
        long version = mOperator.stored("plan.counter").version();

        assertThat(mOperator.run("check", OperatorFixture.EXAMPLE_FILE)).isZero();
        assertThat(mOperator.mOutput).isEqualTo("0 faults, 0 differences\n");
        ObjectNode example = example();
        for (JsonNode plan : example.get("plans")) {
            ((ObjectNode) plan).put("burst_tokens", 5);
        }
        assertThat(mOperator.run("check", write(example))).isZero();

        assertThat(mOperator.mOutput)
                .contains("plan.counter")
                .contains("version " + version + " is in force")
                .contains("0 faults, 2 differences");
        assertThat(mOperator.stored("plan.counter").version()).isEqualTo(version);
    }

    @Test
    void printsTheSameAsJson() throws IOException {
        String file = writeExample("/workspaces/0", "key_digests", "[]");

        assertThat(mOperator.runWithoutPlatform("check", file, "--output", "json")).isEqualTo(2);
        assertThat(mOperator.json().at("/faults/0/finding").asText()).isEqualTo("never used");
        assertThat(mOperator.json().at("/differences")).isEmpty();
    }

    @Test
    void aFileThatIsNoListFileIsAFailure() throws IOException {
        Path file = mDirectory.resolve("broken.json");
        Files.writeString(file, "{");

        assertThat(mOperator.runWithoutPlatform("check", file.toString())).isEqualTo(2);
        assertThat(mOperator.mErrors).isNotEmpty();
    }

    private String writeExample(String entry, String field, String value) throws IOException {
        ObjectNode example = example();
        ((ObjectNode) example.at(entry)).set(field, new ObjectMapper().readTree(value));
        return write(example);
    }

    private static ObjectNode example() throws IOException {
        return (ObjectNode) new ObjectMapper().readTree(new File(OperatorFixture.EXAMPLE_FILE));
    }

    private String write(ObjectNode list) throws IOException {
        Path file = mDirectory.resolve("lists.json");
        Files.writeString(file, list.toString());
        return file.toString();
    }
}
