package org.vanillaslip.internal.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against calls that no operator can look at or release while hosts refuse them. */
class QuarantineCommandTest {

    private static final String CALL = "call:0123";
    private static final String HOST = "127.0.0.1:1";

    private final OperatorFixture mTool = new OperatorFixture();

    @Test
    void listsWhatIsKeptFromTheServers() {
        mTool.mQuarantine.mSubjects.add(CALL);

        assertThat(mTool.runWithoutPlatform("quarantine", "list", "--host", HOST)).isZero();
        assertThat(mTool.mOutput).contains(CALL + " remaining_ms=1000");
    }

    @Test
    void releasesACall() {
        mTool.mQuarantine.mSubjects.add(CALL);

        assertThat(mTool.runWithoutPlatform("quarantine", "release", "--host", HOST, CALL))
                .isZero();
        assertThat(mTool.mQuarantine.mSubjects).isEmpty();
    }

    @Test
    void namesACallThatIsNotInQuarantine() {
        assertThat(mTool.runWithoutPlatform("quarantine", "release", "--host", HOST, CALL))
                .isNotZero();
        assertThat(mTool.mErrors).contains(CALL);
    }

    @Test
    void saysThatAHostDoesNotAnswer() {
        assertThat(mTool.runWithoutPlatform("quarantine", "list", "--host", "127.0.0.1:2"))
                .isNotZero();
        assertThat(mTool.mErrors).contains("127.0.0.1:2");
    }
}
