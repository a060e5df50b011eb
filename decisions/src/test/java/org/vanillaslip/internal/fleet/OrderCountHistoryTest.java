package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against orders of other hosts that go unnoticed, and own orders taken for theirs. */
class OrderCountHistoryTest {

    private final OrderCountHistory mHistory = new OrderCountHistory(0, 100);

    @Test
    void noticesARiseWithoutAnOrderOfThisHost() {
        mHistory.recordCount(1, 200);
        mHistory.recordCount(1, 300);

        assertThat(mHistory.raisedAtNanos()).isEqualTo(200);
    }

    @Test
    void attributesARiseToAnAcceptedOrderOfThisHost() {
        mHistory.recordOwnOrder(0);
        mHistory.recordCount(1, 200);

        assertThat(mHistory.raisedAtNanos()).isLessThan(0);
    }

    @Test
    void noticesARiseBeyondTheOrdersOfThisHost() {
        mHistory.recordOwnOrder(0);
        mHistory.recordCount(2, 200);

        assertThat(mHistory.raisedAtNanos()).isEqualTo(200);
    }

    @Test
    void doesNotKnowWhichHostSentTheOrdersBeforeAServerWasListed() {
        assertThat(new OrderCountHistory(3, 100).raisedAtNanos()).isEqualTo(100);
        assertThat(mHistory.raisedAtNanos()).isLessThan(0);
    }
}
