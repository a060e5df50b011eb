package org.vanillaslip.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are blamed on the wrong part of a prompt, or on none. */
class CrashingPartDetectorTest {

    private static final String CRASHING = "bad";
    private static final String SHARED = "shared";

    private final CrashingPartDetector mDetector = new CrashingPartDetector();
    private long mNow = Duration.ofHours(1).toNanos();
    private int mCallCount;

    /** Guards against a part that goes on crashing servers unnoticed. */
    @Test
    void findsAPartUnderWhichThreeServersCrashed() {
        crash("s1", SHARED, CRASHING);
        advance(1000);
        crash("s2", SHARED, CRASHING);
        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
        assertThat(mDetector.suspects(mNow)).containsExactlyInAnyOrder(SHARED, CRASHING);

        advance(1000);
        crash("s3", CRASHING);

        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
    }

    /** Guards against a sound part that is found because it was in calls to crashed servers. */
    @Test
    void anAnswerClearsAPart() {
        crashThreeServersWith(SHARED);
        advance(1);
        mDetector.recordAnswer(SHARED, mNow);

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
        assertThat(mDetector.suspects(mNow)).isEmpty();
    }

    /** Guards against an answer to an earlier call that hides later crashes. */
    @Test
    void anAnswerBeforeTheCrashesDoesNotClearAPart() {
        mDetector.recordAnswer(CRASHING, mNow);
        advance(1);
        crashThreeServersWith(CRASHING);

        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
    }

    /** Guards against a sound part that is blamed while all its servers are down. */
    @Test
    void theCrashingPartExplainsTheCrashesOfItsCompanions() {
        mDetector.recordAnswer(SHARED, mNow);
        advance(1);
        for (int server = 0; server < 5; server++) {
            crash("s" + server, SHARED, CRASHING);
            crash("s" + server, SHARED, "other");
            advance(1000);
        }

        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
        mDetector.explainCrashes(CRASHING);
        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();

        for (int server = 0; server < 5; server++) {
            crash("s" + server, SHARED, "late");
        }
        assertThat(mDetector.suspects(mNow)).isEmpty();
    }

    /** Guards against one call that is repeated while servers crash for another reason. */
    @Test
    void aSingleRepeatedCallIsNoFinding() {
        for (int server = 0; server < 4; server++) {
            record("s" + server, "same-call", CRASHING);
            advance(1000);
        }

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against parts that are blamed for servers that lose their power together. */
    @Test
    void serversThatCrashAtTheSameMomentAreNoFinding() {
        for (int server = 0; server < 6; server++) {
            crash("s" + server, SHARED, CRASHING);
            advance(10);
        }

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against one crash that counts once for each of its calls. */
    @Test
    void manyCallsOfOneServerAreOneCrash() {
        for (int call = 0; call < 10; call++) {
            crash("s1", CRASHING);
            advance(1000);
        }

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against unrelated crashes of a long time that add up. */
    @Test
    void crashesLongAgoDoNotCount() {
        for (int server = 0; server < 6; server++) {
            crash("s" + server, CRASHING);
            advance(40_000);
        }

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against a decision before the answers of other hosts can be known. */
    @Test
    void crashesAfterTheGivenTimeDoNotCount() {
        crashThreeServersWith(CRASHING);

        assertThat(mDetector.findCrashingPart(mNow - Duration.ofMillis(300).toNanos())).isEmpty();
        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
    }

    /** Guards against evidence that grows without bound during an outage. */
    @Test
    void keepsABoundedNumberOfCrashes() {
        for (int server = 0; server < 5000; server++) {
            crash("s" + server, "part-" + server, SHARED);
        }

        assertThat(mDetector.crashCount()).isLessThanOrEqualTo(512);
    }

    private void crashThreeServersWith(String part) {
        for (int server = 0; server < 3; server++) {
            crash("s" + server, part);
            advance(600);
        }
        advance(-600);
    }

    private void crash(String server, String... parts) {
        record(server, "call-" + mCallCount++, parts);
    }

    private void record(String server, String call, String... parts) {
        mDetector.recordUnanswered(
                new UnansweredCall(server, "", call, List.of(parts), false), mNow);
    }

    private void advance(long millis) {
        mNow += Duration.ofMillis(millis).toNanos();
    }
}
