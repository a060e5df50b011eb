package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StoreLoadShareTest {

    /** Guards against pools in which nearly all engines read from the store and take no orders. */
    @Test
    void leavesHalfOfTheEnginesForOtherOrders() {
        assertThat(StoreLoadShare.maxLoads(10, 8)).isEqualTo(5);
    }

    @Test
    void startsNoMoreLoadsThanTheStoreServesAtFullSpeed() {
        assertThat(StoreLoadShare.maxLoads(60, 4)).isEqualTo(4);
    }

    @Test
    void letsASingleEngineReadTheStore() {
        assertThat(StoreLoadShare.maxLoads(1, 4)).isEqualTo(1);
    }
}
