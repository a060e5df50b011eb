package org.vanillaslip.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are blamed on a sound call, or on none. */
class CrashingCallDetectorTest {

    private static final String CRASHING = CallSubject.of("bad");
    private static final String SOUND = CallSubject.of("sound");
    private static final String PART = "part";

    private final CrashingPartDetector mDetector = new CrashingPartDetector();
    private long mNow = Duration.ofHours(1).toNanos();

    /** Guards against a call that its caller repeats, and that goes on crashing servers. */
    @Test
    void findsACallUnderWhichThreeServersCrashed() {
        crash("s1", CRASHING, PART);
        crash("s2", CRASHING, PART);
        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
        assertThat(mDetector.suspects(mNow)).contains(CRASHING);

        crash("s3", CRASHING, PART);

        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
    }

    /** Guards against a cut or a reset, after which the same process goes on, that counts. */
    @Test
    void aLostConnectionToAServerThatGoesOnIsNoCrash() {
        for (int server = 0; server < 5; server++) {
            lose("s" + server, "z" + server, CRASHING);
            advance(1000);
        }
        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
        assertThat(mDetector.unconfirmedServers(mNow)).hasSize(5);

        for (int server = 0; server < 3; server++) {
            mDetector.recordServerEnded("s" + server);
        }

        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
    }

    /** Guards against calls that are blamed although all were sent before the first crash. */
    @Test
    void callsThatWereSentBeforeTheFirstCrashAreNoFinding() {
        for (int server = 0; server < 5; server++) {
            record("s" + server, "z" + server, false, SOUND);
            mDetector.recordServerEnded("s" + server);
            advance(1000);
        }

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against a call that is blamed for a rack, and for one more crash. */
    @Test
    void serversOfOneFailureDomainThatEndTogetherAreOneCrash() {
        for (int server = 0; server < 4; server++) {
            lose("s" + server, "rack", SOUND);
            mDetector.recordServerEnded("s" + server);
            advance(10);
        }
        advance(1000);
        crash("s9", SOUND);

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against a frequent call that is blamed because it is lost with the crashing one. */
    @Test
    void anAnsweredCallNeedsMoreCrashes() {
        mDetector.recordAnswer(SOUND, mNow);
        advance(10);
        crash("s1", SOUND);
        crash("s2", SOUND);
        crash("s3", SOUND);

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against a call that is blamed although a server has answered it completely. */
    @Test
    void anAnswerClearsACall() {
        crash("s1", SOUND);
        crash("s2", SOUND);
        mDetector.recordAnswer(SOUND, mNow);
        for (int server = 3; server < 8; server++) {
            crash("s" + server, SOUND);
        }

        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against a guess between two calls that were lost together each time. */
    @Test
    void twoCallsOnTheSameServersAreToldApartByTheNextCrash() {
        for (int server = 0; server < 3; server++) {
            lose("s" + server, "z" + server, SOUND);
            crash("s" + server, CRASHING);
        }
        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();

        crash("s4", CRASHING);

        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
        mDetector.explainCrashes(CRASHING);
        assertThat(mDetector.findCrashingPart(mNow)).isEmpty();
    }

    /** Guards against a part that all callers share and that is blamed for one of its calls. */
    @Test
    void aCallThatExplainsAllCrashesIsBlamedInsteadOfItsPart() {
        for (int server = 0; server < 3; server++) {
            crash("s" + server, CRASHING, PART);
            lose("s" + server, "z" + server, CallSubject.of("lost" + server), PART);
        }

        assertThat(mDetector.findCrashingPart(mNow)).contains(CRASHING);
    }

    /** Guards against evidence that grows with the calls that run on crashed servers. */
    @Test
    void keepsABoundedNumberOfCalls() {
        for (int server = 0; server < 400; server++) {
            for (int call = 0; call < 100; call++) {
                lose("s" + server, "z", CallSubject.of("c" + server + "-" + call));
            }
        }

        assertThat(mDetector.crashCount()).isLessThanOrEqualTo(164);
    }

    private void crash(String server, String... subjects) {
        lose(server, "z" + server, subjects);
        mDetector.recordServerEnded(server);
        advance(600);
    }

    private void lose(String server, String failureDomain, String... subjects) {
        record(server, failureDomain, true, subjects);
    }

    private void record(
            String server, String failureDomain, boolean sentAfterCrash, String... subjects) {
        mDetector.recordUnanswered(
                new UnansweredCall(
                        server, failureDomain, subjects[0], List.of(subjects), sentAfterCrash),
                mNow);
    }

    private void advance(long millis) {
        mNow += Duration.ofMillis(millis).toNanos();
    }
}
