package org.vanillaslip.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against one silent server whose streams all are sent again in the same second. */
class StandbyLimitsTest {

    private static final String SERVER = "i-1@1";
    private static final long SOON = Duration.ofMillis(250).toNanos();
    private static final long LATER = Duration.ofSeconds(4).toNanos();
    private static final long MUCH_LATER = Duration.ofSeconds(30).toNanos();

    private final StandbyLimits mLimits = new StandbyLimits();

    @Test
    void aSilentServerHasOneStandbyRunAtATime() {
        assertThat(mLimits.tryBegin(SERVER, 0)).isTrue();
        assertThat(mLimits.tryBegin(SERVER, 0)).isFalse();
        assertThat(mLimits.tryBegin(SERVER, MUCH_LATER)).isFalse();
        assertThat(mLimits.tryBegin("i-2@1", 0)).isTrue();
    }

    @Test
    void afterOneDeliversTheOtherCallsMayHaveOneEach() {
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordDelivered(SERVER, 0);

        assertThat(mLimits.tryBegin(SERVER, 1)).isTrue();
        assertThat(mLimits.tryBegin(SERVER, 1)).isTrue();
    }

    @Test
    void afterOneBringsNothingTheOthersWait() {
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordNothing(SERVER, 0);

        assertThat(mLimits.tryBegin(SERVER, 1)).isFalse();
        assertThat(mLimits.tryBegin(SERVER, LATER)).isTrue();
    }

    /** Guards against calls that do not notice the end of a shortage of servers in time. */
    @Test
    void afterOneFindsNoServerTheNextIsAllowedSoon() {
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordNotStarted(SERVER, 0);

        assertThat(mLimits.tryBegin(SERVER, 1)).isFalse();
        assertThat(mLimits.tryBegin(SERVER, SOON)).isTrue();
    }

    /** Guards against proven silence whose calls all look for a server again and again. */
    @Test
    void aShortageOfServersAlsoHoldsBackTheCallsOfAProvenSilentServer() {
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordDelivered(SERVER, 0);
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordNotStarted(SERVER, 0);

        assertThat(mLimits.tryBegin(SERVER, 1)).isFalse();
        assertThat(mLimits.tryBegin(SERVER, SOON)).isTrue();
        assertThat(mLimits.tryBegin(SERVER, SOON)).isTrue();
    }

    /** Guards against repeats that go on although they bring nothing any more. */
    @Test
    void afterAProofARunWithoutEffectHoldsTheOthersBack() {
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordDelivered(SERVER, 0);
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordNothing(SERVER, 0);

        assertThat(mLimits.tryBegin(SERVER, SOON)).isFalse();
        assertThat(mLimits.tryBegin(SERVER, LATER)).isTrue();
    }

    @Test
    void aServerThatIsHeardIsNoLongerProvenSilent() {
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordDelivered(SERVER, 0);
        mLimits.recordHeard(SERVER, 1);

        assertThat(mLimits.tryBegin(SERVER, 1)).isTrue();
        assertThat(mLimits.tryBegin(SERVER, 1)).isFalse();
    }

    @Test
    void theProofLapses() {
        mLimits.tryBegin(SERVER, 0);
        mLimits.recordDelivered(SERVER, 0);

        assertThat(mLimits.tryBegin(SERVER, MUCH_LATER)).isTrue();
        assertThat(mLimits.tryBegin(SERVER, MUCH_LATER)).isFalse();
    }
}
