package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.serving.EngineProfile;

/**
 * Guards against engines that run out of memory because a restarted engine executes a late order
 * whose expected order count it has reached with other models loaded.
 */
class UnconfirmedOrdersTest {

    private static final Duration LONG_RUNNING = Duration.ofHours(1);
    private static final Duration JUST_STARTED = Duration.ofSeconds(2);
    private static final long START = Duration.ofMinutes(5).toNanos();

    private final EngineProfile mProfile = PlannerFixture.profile(4);
    private final double mModelMegabytes = mProfile.models().get("m1").weightsMegabytes();
    private final UnconfirmedOrders mOrders = new UnconfirmedOrders();

    @Test
    void countsAnUnansweredLoadAtItsExpectedOrderCount() {
        mOrders.recordSent(load("m1"), 5, START);

        assertThat(possibleLoads(4)).isEqualTo(UnconfirmedLoads.NONE);
        assertThat(possibleLoads(5)).isEqualTo(new UnconfirmedLoads(mModelMegabytes, 0));
        assertThat(possibleLoads(6)).isEqualTo(UnconfirmedLoads.NONE);
    }

    @Test
    void countsALoadThatFollowsAnotherUnansweredLoad() {
        mOrders.recordSent(load("m1"), 5, START);
        mOrders.recordSent(load("m2"), 6, START);

        assertThat(possibleLoads(5)).isEqualTo(new UnconfirmedLoads(2 * mModelMegabytes, 0));
    }

    @Test
    void countsALoadThatFollowsAnUnansweredUnload() {
        mOrders.recordSent(order(OrderKind.UNLOAD, "m1", Optional.empty()), 5, START);
        mOrders.recordSent(load("m2"), 6, START);

        assertThat(possibleLoads(5)).isEqualTo(new UnconfirmedLoads(mModelMegabytes, 0));
    }

    @Test
    void countsOnlyOneOfTwoLoadsWithTheSameExpectedOrderCount() {
        mOrders.recordSent(load("m1"), 5, START);
        mOrders.recordSent(load("m2"), 5, START);

        assertThat(possibleLoads(5)).isEqualTo(new UnconfirmedLoads(mModelMegabytes, 0));
    }

    @Test
    void countsASlotForAnUnansweredAdapterLoad() {
        mOrders.recordSent(order(OrderKind.LOAD, "m1", Optional.of("a1")), 5, START);

        assertThat(possibleLoads(5).adapters()).isEqualTo(1);
    }

    @Test
    void doesNotCountAnAnsweredLoad() {
        PlannedOrder order = load("m1");
        mOrders.recordSent(order, 5, START);
        mOrders.recordOutcome(order);

        assertThat(possibleLoads(5)).isEqualTo(UnconfirmedLoads.NONE);
    }

    @Test
    void doesNotCountOrdersAfterTheMaximumExecutionDelay() {
        mOrders.recordSent(load("m1"), 5, START);
        long afterMaxDelay = START + UnconfirmedOrders.MAX_EXECUTION_DELAY.toNanos() + 1;

        assertThat(mOrders.possibleLoads("a", 5, LONG_RUNNING, false, mProfile, afterMaxDelay))
                .isEqualTo(UnconfirmedLoads.NONE);
    }

    /** Guards against late orders of the previous lease holder, which this host does not know. */
    @Test
    void reservesMemoryOnRecentlyStartedEnginesAfterATakeover() {
        mOrders.recordTakeover(START);
        long afterMaxDelay = START + UnconfirmedOrders.MAX_EXECUTION_DELAY.toNanos() + 1;

        assertThat(mOrders.possibleLoads("a", 0, JUST_STARTED, false, mProfile, START).megabytes())
                .isPositive();
        assertThat(mOrders.possibleLoads("a", 0, LONG_RUNNING, false, mProfile, START))
                .isEqualTo(UnconfirmedLoads.NONE);
        assertThat(mOrders.possibleLoads("a", 0, JUST_STARTED, false, mProfile, afterMaxDelay))
                .isEqualTo(UnconfirmedLoads.NONE);
    }

    /** Guards against memory reserved on new engines, to which no earlier order can refer. */
    @Test
    void reservesNoMemoryOnAnEngineThatStartsForTheFirstTime() {
        mOrders.recordTakeover(START);

        assertThat(mOrders.possibleLoads("a", 0, JUST_STARTED, true, mProfile, START))
                .isEqualTo(UnconfirmedLoads.NONE);
    }

    private UnconfirmedLoads possibleLoads(long orderCount) {
        return mOrders.possibleLoads("a", orderCount, LONG_RUNNING, false, mProfile, START);
    }

    private static PlannedOrder load(String model) {
        return order(OrderKind.LOAD, model, Optional.empty());
    }

    private static PlannedOrder order(OrderKind kind, String model, Optional<String> adapter) {
        return new PlannedOrder(
                "a", kind, model, adapter, model, Duration.ofSeconds(1), false, "test");
    }
}
