package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.SlowStart;

/** Guards against more concurrent requests on a starting server than its limit allows. */
class SlowStartTest {

    private static final long SECOND = 1_000_000_000L;
    private static final SlowStart SLOW_START = new SlowStart(2, 20, Duration.ofSeconds(180));

    private long mIds;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void neverRunsMoreRequestsThanTheLimitUnderFaults(long seed) {
        assertThat(new SlowStartHarness(seed).run(3000)).isPositive();
    }

    @Test
    void growsLinearlyFromInitialToFullConcurrency() {
        ConcurrencyLedger ledger = ledger(0, 0);
        assertThat(ledger.limit(0)).isEqualTo(2);
        assertThat(ledger.limit(90 * SECOND)).isEqualTo(11);
        assertThat(ledger.limit(180 * SECOND)).isEqualTo(20);
    }

    @Test
    void newOwnerGrantsNothingWhileSlotsOfThePredecessorMayBeInUse() {
        ConcurrencyLedger ledger = ledger(0, 10 * SECOND);
        assertThat(ledger.acquire(1, 0, 16 * SECOND)).isEmpty();
        assertThat(ledger.acquire(1, 0, 17 * SECOND)).hasSize(1);
    }

    @Test
    void serverThatStartedUnderThisOwnerHasNoSlotsOfAPredecessor() {
        assertThat(ledger(20 * SECOND, 10 * SECOND).acquire(2, 0, 21 * SECOND)).hasSize(2);
    }

    @Test
    void slotThatIsNotRenewedExpires() {
        ConcurrencyLedger ledger = ledger(0, 0);
        assertThat(ledger.acquire(5, 0, 0)).hasSize(2);
        assertThat(ledger.acquire(1, 0, 5 * SECOND)).isEmpty();
        assertThat(ledger.acquire(1, 0, 7 * SECOND)).hasSize(1);
    }

    @Test
    void requestThatOutlivesItsSlotStillCounts() {
        ConcurrencyLedger ledger = ledger(0, 0);
        List<Long> slots = ledger.acquire(2, 0, 0);
        assertThat(ledger.acquire(1, 2, 7 * SECOND)).isEmpty();
        ledger.renew(slots, 7 * SECOND);
        ledger.release(slots);
        assertThat(ledger.acquire(2, 0, 8 * SECOND)).hasSize(2);
    }

    private ConcurrencyLedger ledger(long startedAt, long ownedSince) {
        return new ConcurrencyLedger(SLOW_START, startedAt, ownedSince, 6 * SECOND, () -> ++mIds);
    }
}
