package org.vanillaslip.internal.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillaslip.internal.platform.PlatformFailure;

/** Guards against faults of the platform's configuration that the command leaves out. */
class DeploymentFileCheckTest {
    private final OperatorFixture mOperator = new OperatorFixture();
    private final FakeDeploymentCheck mCheck = new FakeDeploymentCheck();
    @TempDir Path mDirectory;

    @BeforeEach
    void installTheCheck() {
        mOperator.mDeploymentCheck = Optional.of(mCheck);
    }

    @Test
    void aFileWithoutFaultsEndsWithZero() throws IOException {
        assertThat(mOperator.runWithoutPlatform("check", write("deployment a b"))).isZero();
        assertThat(mOperator.mOutput).isEqualTo("0 faults, 0 differences\n");
        assertThat(mCheck.mReads).hasValue(0);
    }

    @Test
    void eachFaultIsListedAndTheCommandEndsWithOne() throws IOException {
        assertThat(mOperator.runWithoutPlatform("check", write("deployment a! b c!"))).isEqualTo(1);
        assertThat(mOperator.mOutput.lines())
                .containsExactly(
                        "finding  item  detail",
                        "error    a!    is wrong",
                        "error    c!    is wrong",
                        "2 faults, 0 differences");
    }

    /** Guards against a check of the platform's format that hides the project's own lists. */
    @Test
    void listFilesAreCheckedAsBefore() {
        assertThat(mOperator.runWithoutPlatform("check", OperatorFixture.EXAMPLE_FILE)).isZero();
        assertThat(mOperator.run("check", OperatorFixture.EXAMPLE_FILE)).isZero();
        assertThat(mOperator.mOutput).doesNotContain(" 0 differences");
        assertThat(mCheck.mReads).hasValue(0);
    }

    @Test
    void aFileThatDoesNotExistEndsWithTwo() {
        assertThat(mOperator.runWithoutPlatform("check", "no-such-file")).isEqualTo(2);
        assertThat(mOperator.mErrors).contains("no-such-file").contains("cannot be read");
    }

    @Test
    void aFileThatCannotBeParsedEndsWithTwo() throws IOException {
        assertThat(mOperator.runWithoutPlatform("check", write("deployment {"))).isEqualTo(2);
        assertThat(mOperator.mErrors).contains("cannot be read. It is not plain text.");
    }

    @Test
    void differencesFromAFileAreListed() throws IOException {
        String other = write("deployment a");

        assertThat(
                        mOperator.runWithoutPlatform(
                                "check", write("deployment a b"), "--against", other))
                .isZero();
        assertThat(mOperator.mOutput).contains("new").contains("0 faults, 1 differences");
        assertThat(mCheck.mReads).hasValue(0);
    }

    @Test
    void differencesFromTheVersionInForceNeedOneRead() throws IOException {
        mCheck.mInForce = Either.right("deployment a");

        assertThat(mOperator.run("check", write("deployment a b"))).isZero();
        assertThat(mOperator.mOutput).contains("0 faults, 1 differences");
        assertThat(mCheck.mReads).hasValue(1);
    }

    /** Guards against a first configuration that cannot be checked. */
    @Test
    void withoutAVersionInForceEverythingIsNew() throws IOException {
        mCheck.mInForce = Either.left(PlatformFailure.NOT_FOUND);

        assertThat(mOperator.run("check", write("deployment a"))).isZero();
        assertThat(mOperator.mOutput).contains("0 faults, 2 differences");
    }

    /** Guards against faults that are hidden while the store is unreachable. */
    @Test
    void anUnreachableStoreEndsWithTwoAfterTheFaults() throws IOException {
        assertThat(mOperator.run("check", write("deployment a!"))).isEqualTo(2);
        assertThat(mOperator.mOutput)
                .contains("a!    is wrong")
                .contains("1 faults, 0 differences")
                .contains("Not compared: The call to the platform failed (UNAVAILABLE).");
        assertThat(mOperator.run("check", write("deployment a!"), "--output", "json")).isEqualTo(2);
        assertThat(mOperator.json().at("/faults/0/item").asText()).isEqualTo("a!");
        assertThat(mOperator.json().at("/not_compared").asText()).contains("UNAVAILABLE");
    }

    @Test
    void aSecondFileThatCannotBeReadEndsWithTwoAfterTheFaults() throws IOException {
        String file = write("deployment a!");

        assertThat(mOperator.runWithoutPlatform("check", file, "--against", "no-such-file"))
                .isEqualTo(2);
        assertThat(mOperator.mOutput).contains("a!    is wrong").contains("no-such-file");
        assertThat(
                        mOperator.runWithoutPlatform(
                                "check", file, "--against", OperatorFixture.EXAMPLE_FILE))
                .isEqualTo(2);
        assertThat(mOperator.mOutput).contains("is no configuration of the platform");
    }

    @Test
    void onlyThePlatformsFormatIsComparedWithAFile() throws IOException {
        String example = OperatorFixture.EXAMPLE_FILE;

        assertThat(mOperator.runWithoutPlatform("check", example, "--against", example))
                .isEqualTo(2);
        assertThat(mOperator.mErrors).contains("--against is for files");
        assertThat(mOperator.run("check", write("deployment"), "--against", example)).isEqualTo(2);
        assertThat(mOperator.mErrors).contains("Only one of");
    }

    private String write(String text) throws IOException {
        return Files.writeString(Files.createTempFile(mDirectory, "file", ".txt"), text).toString();
    }
}
