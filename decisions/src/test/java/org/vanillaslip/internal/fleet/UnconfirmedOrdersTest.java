package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.serving.EngineProfile;

/** Guards against a late order that meets its number again when other models fill the engine. */
class UnconfirmedOrdersTest {

    private static final Duration OLD = Duration.ofHours(1);
    private static final Duration YOUNG = Duration.ofSeconds(2);
    private static final long START = Duration.ofMinutes(5).toNanos();

    private final EngineProfile mProfile = PlannerFixture.profile(4);
    private final double mModel = mProfile.models().get("m1").weightsMegabytes();
    private final UnconfirmedOrders mOrders = new UnconfirmedOrders();

    @Test
    void anUnansweredLoadTakesRoomAtItsNumber() {
        mOrders.recordSent(load("m1"), 5, START);

        assertThat(after(4)).isEqualTo(UnconfirmedLoads.NONE);
        assertThat(after(5)).isEqualTo(new UnconfirmedLoads(mModel, 0));
        assertThat(after(6)).isEqualTo(UnconfirmedLoads.NONE);
    }

    @Test
    void oneLateLoadMayLetTheNextOneIn() {
        mOrders.recordSent(load("m1"), 5, START);
        mOrders.recordSent(load("m2"), 6, START);

        assertThat(after(5)).isEqualTo(new UnconfirmedLoads(2 * mModel, 0));
    }

    @Test
    void aLateUnloadMayLetALoadIn() {
        mOrders.recordSent(order(OrderKind.UNLOAD, "m1", Optional.empty()), 5, START);
        mOrders.recordSent(load("m2"), 6, START);

        assertThat(after(5)).isEqualTo(new UnconfirmedLoads(mModel, 0));
    }

    @Test
    void ofTwoLoadsWithOneNumberOnlyOneIsCarriedOut() {
        mOrders.recordSent(load("m1"), 5, START);
        mOrders.recordSent(load("m2"), 5, START);

        assertThat(after(5)).isEqualTo(new UnconfirmedLoads(mModel, 0));
    }

    @Test
    void anAdapterTakesAPlace() {
        mOrders.recordSent(order(OrderKind.LOAD, "m1", Optional.of("a1")), 5, START);

        assertThat(after(5).adapters()).isEqualTo(1);
    }

    @Test
    void anAnsweredLoadTakesNoRoom() {
        PlannedOrder order = load("m1");
        mOrders.recordSent(order, 5, START);
        mOrders.recordOutcome(order);

        assertThat(after(5)).isEqualTo(UnconfirmedLoads.NONE);
    }

    @Test
    void noOrderIsCarriedOutAfterTheLongestDelay() {
        mOrders.recordSent(load("m1"), 5, START);
        long later = START + UnconfirmedOrders.MAX_EXECUTION_DELAY.toNanos() + 1;

        assertThat(mOrders.possibleLoads("a", 5, OLD, false, mProfile, later))
                .isEqualTo(UnconfirmedLoads.NONE);
    }

    /** Guards against orders of a holder before, which this host does not know. */
    @Test
    void afterAChangeOfHoldersAnEngineThatHasJustStartedKeepsRoom() {
        mOrders.recordTakeover(START);
        long later = START + UnconfirmedOrders.MAX_EXECUTION_DELAY.toNanos() + 1;

        assertThat(mOrders.possibleLoads("a", 0, YOUNG, false, mProfile, START).megabytes())
                .isPositive();
        assertThat(mOrders.possibleLoads("a", 0, OLD, false, mProfile, START))
                .isEqualTo(UnconfirmedLoads.NONE);
        assertThat(mOrders.possibleLoads("a", 0, YOUNG, false, mProfile, later))
                .isEqualTo(UnconfirmedLoads.NONE);
    }

    /** Guards against room that is kept on new engines, which no earlier order can name. */
    @Test
    void anEngineWhoseNameIsNewKeepsNoRoomForOrdersBefore() {
        mOrders.recordTakeover(START);

        assertThat(mOrders.possibleLoads("a", 0, YOUNG, true, mProfile, START))
                .isEqualTo(UnconfirmedLoads.NONE);
    }

    private UnconfirmedLoads after(long orders) {
        return mOrders.possibleLoads("a", orders, OLD, false, mProfile, START);
    }

    private static PlannedOrder load(String model) {
        return order(OrderKind.LOAD, model, Optional.empty());
    }

    private static PlannedOrder order(OrderKind kind, String model, Optional<String> adapter) {
        return new PlannedOrder(
                "a", kind, model, adapter, model, Duration.ofSeconds(1), false, "test");
    }
}
