package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.internal.fleet.LeaseSimulation.Order;
import org.vanillaslip.internal.fleet.LeaseSimulation.TestHost;

/** Guards against a lease that goes back with the store. */
class RestoredLeaseTest {

    /** Time from a restore until some host orders again. */
    private static final long MAX_PAUSE_MILLIS = 9000;

    private final LeaseSimulation mSimulation = new LeaseSimulation(4);

    /** Guards against hosts that take no lease because its revision is lower than before. */
    @ParameterizedTest
    @ValueSource(ints = {1000, 5000, 20_000})
    void aHostOrdersAgainAfterTheStoreHasGoneBack(int lostMillis) {
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.copyStore();
        mSimulation.run(Duration.ofMillis(lostMillis));
        restoreAfterOutage(0);

        assertOrdersAgain();
        assertHandoversHold();
    }

    /** Guards against the holder of the copy, whose successor the store has lost. */
    @ParameterizedTest
    @CsvSource({"0, true", "1000, true", "0, false", "4000, false"})
    void theHolderOfTheCopyDoesNotOrderBesideItsSuccessor(int outageMillis, boolean restarts) {
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.copyStore();
        TestHost first = mSimulation.holder();
        first.mStoreUnavailable = true;
        mSimulation.run(Duration.ofSeconds(12));
        assertThat(mSimulation.holder()).isNotSameAs(first);
        if (restarts) {
            first.restart();
        }
        restoreAfterOutage(outageMillis);

        assertOrdersAgain();
        assertHandoversHold();
    }

    @Test
    void severalReturnsWithinSecondsKeepHandoversAndTerms() {
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.copyStore();
        for (int restore = 0; restore < 5; restore++) {
            mSimulation.run(Duration.ofMillis(2700));
            restoreAfterOutage(500);
        }

        assertOrdersAgain();
        assertHandoversHold();
    }

    /** Guards against a first term that servers have seen before. */
    @Test
    void aLeaseThatTheCopyDoesNotHaveBeginsWithANewTerm() {
        mSimulation.copyStore();
        mSimulation.run(Duration.ofSeconds(8));
        restoreAfterOutage(0);

        assertOrdersAgain();
        assertHandoversHold();
    }

    private void restoreAfterOutage(int outageMillis) {
        mSimulation.hosts().forEach(host -> host.mStoreUnavailable = outageMillis > 0);
        mSimulation.run(Duration.ofMillis(outageMillis));
        mSimulation.restoreStore();
        mSimulation.hosts().forEach(host -> host.mStoreUnavailable = false);
    }

    private void assertOrdersAgain() {
        long restored = mSimulation.millis();
        mSimulation.run(Duration.ofMillis(MAX_PAUSE_MILLIS));
        int before = mSimulation.orders().size();
        mSimulation.run(Duration.ofSeconds(20));

        assertThat(mSimulation.orders().subList(before, mSimulation.orders().size()))
                .as("orders after " + restored)
                .hasSizeGreaterThan(1000);
    }

    /** Two holders are apart, and each has a higher term than all before. */
    private void assertHandoversHold() {
        assertThat(mSimulation.shortestHandoverMillis())
                .isGreaterThanOrEqualTo(LeaseSimulation.HANDOVER_DELAY.toMillis());
        Order previous = mSimulation.orders().get(0);
        for (Order order : mSimulation.orders()) {
            assertThat(order.term()).isGreaterThanOrEqualTo(previous.term());
            if (!order.host().equals(previous.host())) {
                assertThat(order.term()).isGreaterThan(previous.term());
            }
            previous = order;
        }
    }
}
