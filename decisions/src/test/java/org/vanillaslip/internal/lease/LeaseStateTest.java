package org.vanillaslip.internal.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Guards against two hosts that may decide at the same time. */
class LeaseStateTest {

    private static final LeaseTimes TIMES = LeaseTimes.STANDARD;
    private static final LeaseRecord LEASE = new LeaseRecord("h0", 1, "n", 10_000);

    @Test
    void validityCountsFromSendingTheWriteAndDecisionsEndAtTwoThirds() {
        LeaseState lease = LeaseState.unknown(0).written(3, LEASE, seconds(1), seconds(4));
        assertThat(lease.mayDecide(TIMES, seconds(7))).isTrue();
        assertThat(lease.mayDecide(TIMES, seconds(8))).isFalse();
        assertThat(lease.expire(TIMES, seconds(10)).holding()).isTrue();
        assertThat(lease.expire(TIMES, seconds(11)).holding()).isFalse();
    }

    @Test
    void aNewVersionRestartsTheWaitOfACandidate() {
        LeaseState candidate = LeaseState.unknown(0).observed(3, LEASE, "h1", seconds(0));
        candidate = candidate.observed(3, LEASE, "h1", seconds(9));
        assertThat(candidate.mayTake(TIMES, LEASE, 0, seconds(11))).isTrue();
        candidate = candidate.observed(4, LEASE, "h1", seconds(9));
        assertThat(candidate.mayTake(TIMES, LEASE, 0, seconds(11))).isFalse();
    }

    @Test
    void candidatesTakeAReleasedLeaseInOrderOfRankWithoutWaitingForItsExpiry() {
        LeaseRecord released = new LeaseRecord("", 1, "n", 10_000);
        LeaseState candidate = LeaseState.unknown(0).observed(3, released, "h1", 0);
        assertThat(candidate.mayTake(TIMES, released, 0, 0)).isTrue();
        assertThat(candidate.mayTake(TIMES, released, 1, 0)).isFalse();
        assertThat(candidate.mayTake(TIMES, released, 1, seconds(1))).isTrue();
    }

    @Property(seed = "20261204")
    void aCandidateNeverTakesALeaseThatIsStillValidForItsHolder(
            @ForAll @DoubleRange(min = 0.99, max = 1.01) double holderRate,
            @ForAll @DoubleRange(min = 0.99, max = 1.01) double candidateRate) {
        double holderExpiryNanos = TIMES.validity().toNanos() / holderRate;
        double candidateWaitNanos = TIMES.takeoverWaitNanos(LEASE, 0) / candidateRate;
        assertThat(candidateWaitNanos).isGreaterThanOrEqualTo(holderExpiryNanos);
    }

    private static long seconds(int seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
