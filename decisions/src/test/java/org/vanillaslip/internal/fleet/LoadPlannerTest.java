package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;
import static org.vanillaslip.internal.fleet.PlannerFixture.DISK_LOAD_TIME;
import static org.vanillaslip.internal.fleet.PlannerFixture.STORE_LOAD_TIME;
import static org.vanillaslip.internal.fleet.PlannerFixture.model;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;

class LoadPlannerTest {

    private final PlannerFixture mPool = new PlannerFixture();

    /** Guards against six seconds from the store where 1.2 seconds from a disk would do. */
    @Test
    void loadsARequestedModelOnTheEngineWithItsWeightsOnDisk() {
        mPool.engine("a", Set.of(), Set.of())
                .engine("b", Set.of(), Set.of("m7"))
                .demand("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders())
                .extracting(PlannedOrder::instance, PlannedOrder::kind, PlannedOrder::model)
                .containsExactly(tuple("b", OrderKind.LOAD, "m7"));
        assertThat(plan.expectedWaits().get(model("m7"))).isLessThan(Duration.ofSeconds(2));
    }

    /** Guards against a store load that begins while the engine with the copy is busy. */
    @Test
    void waitsForABusyEngineWithACopyInsteadOfReadingTheStore() {
        mPool.engine("a", Set.of(), Set.of())
                .engine(
                        "b",
                        Set.of(),
                        Set.of("m7"),
                        Map.of(),
                        Duration.ofMillis(900),
                        Optional.of("m3"))
                .demand("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).isEmpty();
        assertThat(plan.expectedWaits().get(model("m7")))
                .isBetween(DISK_LOAD_TIME.plusMillis(900), DISK_LOAD_TIME.plusMillis(1400));
    }

    @Test
    void readsTheStoreWhenNoEngineHasACopy() {
        mPool.engine("a", Set.of(), Set.of()).demand("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).singleElement().matches(PlannedOrder::fromStore);
        assertThat(plan.expectedWaits().get(model("m7"))).isGreaterThanOrEqualTo(STORE_LOAD_TIME);
    }

    /** Guards against more loads at once than the store serves at full speed. */
    @Test
    void startsNoMoreStoreLoadsThanTheStoreServesAtFullSpeed() {
        mPool.mAvailableStoreLoads = 1;
        mPool.engine("a", Set.of(), Set.of())
                .engine("b", Set.of(), Set.of())
                .demand("m7", 2900)
                .demand("m8", 2950);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).singleElement().matches(order -> order.model().equals("m7"));
        assertThat(plan.expectedWaits().get(model("m8"))).isGreaterThan(STORE_LOAD_TIME);
    }

    /** Guards against memory that is overcommitted: something makes way first. */
    @Test
    void unloadsBeforeItLoadsOnAFullEngine() {
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7")).demand("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders())
                .singleElement()
                .satisfies(
                        order -> {
                            assertThat(order.kind()).isEqualTo(OrderKind.UNLOAD);
                            assertThat(order.purpose()).isEqualTo("m7");
                        });
    }

    /** Guards against memory that a late order of unknown outcome overcommits. */
    @Test
    void reservesMemoryForUnconfirmedLoads() {
        mPool.mUnconfirmedLoads = new UnconfirmedLoads(70_000, 0);
        mPool.engine("a", Set.of("m1", "m2"), Set.of("m7")).demand("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD);
    }

    /** Guards against the same where even an unload would let too much in. */
    @Test
    void ordersNothingWhenUnconfirmedLoadsWouldNotFit() {
        mPool.mUnconfirmedLoads = new UnconfirmedLoads(140_000, 1);
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .demand("m7", 2900)
                .demand(new ModelName("m1", Optional.of("a1")), 400, 1);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Pattern "busy models moving on": the idle model makes way, not the busy ones. */
    @Test
    void evictsTheModelWithoutDemand() {
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .urgentCalls("m1", 30)
                .urgentCalls("m3", 30)
                .demand("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m2"));
    }

    /** An unload waits for running calls, so it would hold the engine up for seconds. */
    @Test
    void evictsAModelWithoutRunningCalls() {
        mPool.engine(
                        "a",
                        Set.of("m1", "m2", "m3"),
                        Set.of("m7"),
                        Map.of("m1", 1, "m2", 2),
                        Duration.ZERO,
                        Optional.empty())
                .demand("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m3"));
    }

    /** Guards against two models that evict each other while callers wait for both. */
    @Test
    void evictsARequestedModelLast() {
        ModelName adapter = new ModelName("m1", Optional.of("a1"));
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .demand("m7", 2900)
                .demand(adapter, 400, 1);

        assertThat(mPool.plan().orders())
                .filteredOn(order -> order.kind() == OrderKind.UNLOAD)
                .singleElement()
                .matches(order -> !order.model().equals("m1"));
    }

    /** Pattern "rare models at once": one order per engine, the earliest objective first. */
    @Test
    void loadsTheModelWithTheEarliestObjectiveFirst() {
        mPool.engine("a", Set.of(), Set.of("m7", "m8", "m9"))
                .demand("m7", 2900)
                .demand("m8", 1500)
                .demand("m9", 2000);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).singleElement().matches(order -> order.model().equals("m8"));
        assertThat(plan.expectedWaits().get(model("m9")))
                .isLessThan(plan.expectedWaits().get(model("m7")));
    }

    /** Pattern "burst of the patient kind": callers that are late already wait behind others. */
    @Test
    void servesCallersWithinTheirObjectiveBeforeLateOnes() {
        mPool.engine("a", Set.of(), Set.of("m7", "m8")).demand("m7", -500).demand("m8", 2500);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m8"));
    }

    @Test
    void servesTheMostUrgentPriorityFirst() {
        mPool.engine("a", Set.of(), Set.of("m7", "m8"))
                .demand(model("m7"), 500, 2)
                .demand(model("m8"), 2500, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m8"));
    }

    @Test
    void waitingCallersShareTheLoadInProgress() {
        mPool.engine("a", Set.of(), Set.of("m7"))
                .engine(
                        "b",
                        Set.of(),
                        Set.of("m7"),
                        Map.of(),
                        Duration.ofMillis(700),
                        Optional.of("m7"))
                .demand("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).isEmpty();
        assertThat(plan.expectedWaits().get(model("m7"))).isLessThan(Duration.ofSeconds(1));
    }

    @Test
    void loadsAnAdapterOnTheLeastBusyEngineWithItsModel() {
        ModelName adapter = new ModelName("m1", Optional.of("a3"));
        mPool.engine("a", Set.of("m1"), Set.of(), Map.of("m1", 9), Duration.ZERO, Optional.empty())
                .engine("b", Set.of("m1"), Set.of())
                .demand(adapter, 400, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .satisfies(
                        order -> {
                            assertThat(order.instance()).isEqualTo("b");
                            assertThat(order.adapter()).contains("a3");
                        });
    }

    /** Guards against one adapter that takes places on several engines at once. */
    @Test
    void doesNotLoadAnAdapterThatIsBeingLoadedElsewhere() {
        ModelName adapter = new ModelName("m1", Optional.of("a3"));
        mPool.engine(
                        "a",
                        Set.of("m1"),
                        Set.of(),
                        Map.of(),
                        Duration.ofMillis(20),
                        Optional.of(adapter.toString()))
                .engine("b", Set.of("m1"), Set.of())
                .demand(adapter, 400, 0);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /**
     * Guards against adapters in use that make way, which holds the engine up until their calls
     * end.
     */
    @Test
    void evictsTheLeastRecentlyRequestedAdapter() {
        Set<String> adapters = Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");
        for (String name : adapters) {
            boolean old = name.equals("a5");
            long at = mPool.mNow - Duration.ofSeconds(old ? 9 : 2).toNanos();
            mPool.mHistory.recordAdapterRequest(new ModelName("m1", Optional.of(name)), at);
        }
        mPool.engine(
                        "a",
                        Map.of("m1", adapters),
                        Set.of(),
                        Map.of(),
                        Duration.ZERO,
                        Optional.empty())
                .demand(new ModelName("m1", Optional.of("a9")), 400, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.adapter().equals(Optional.of("a5")));
    }

    /** Guards against two adapters that evict each other while callers wait for both. */
    @Test
    void doesNotEvictARequestedAdapter() {
        Set<String> adapters = Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");
        mPool.engine(
                "a", Map.of("m1", adapters), Set.of(), Map.of(), Duration.ZERO, Optional.empty());
        mPool.engine(
                "b", Set.of("m1"), Set.of(), Map.of(), Duration.ofSeconds(1), Optional.empty());
        adapters.forEach(name -> mPool.demand(new ModelName("m1", Optional.of(name)), 400, 0));
        mPool.demand(new ModelName("m1", Optional.of("a9")), 400, 0);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Guards against a server that crashes because it holds too many adapters. */
    @Test
    void evictsAnAdapterWhenAllSlotsAreTaken() {
        Set<String> eight = Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");
        mPool.engine("a", Map.of("m1", eight), Set.of(), Map.of(), Duration.ZERO, Optional.empty())
                .demand(new ModelName("m1", Optional.of("a9")), 400, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD && order.adapter().isPresent());
    }

    /** Pattern "steady mix": a busy model stands on two servers before one of them is lost. */
    @Test
    void replicatesABusyModelToASecondEngine() {
        mPool.engine("a", Set.of("m1"), Set.of("m1"))
                .engine("b", Set.of(), Set.of("m1"))
                .urgentCalls("m1", 30);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.instance().equals("b") && order.model().equals("m1"));
    }

    @Test
    void doesNotReplicateModelsWithoutUrgentCalls() {
        mPool.engine("a", Set.of("m1"), Set.of("m1"))
                .engine("b", Set.of(), allModels())
                .nonUrgentCalls("m1", 30);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Pattern "long calls": few calls a second of one model fill the places of its server. */
    @Test
    void replicatesAModelThatTakesMostSlotsOfItsServer() {
        mPool.engine(
                        "a",
                        Set.of("m1"),
                        Set.of("m1"),
                        Map.of("m1", 30),
                        Duration.ZERO,
                        Optional.empty())
                .engine("b", Set.of(), Set.of("m1"))
                .nonUrgentCalls("m1", 30);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.instance().equals("b") && order.model().equals("m1"));
    }

    /** Guards against copies of models whose server has places left. */
    @Test
    void doesNotReplicateAModelThatTakesFewSlots() {
        mPool.engine(
                        "a",
                        Set.of("m1"),
                        Set.of("m1"),
                        Map.of("m1", 15),
                        Duration.ZERO,
                        Optional.empty())
                .engine("b", Set.of(), allModels())
                .nonUrgentCalls("m1", 30);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    @Test
    void preloadsUncachedModelsWhileTheStoreIsIdle() {
        mPool.engine("a", Set.of(), Set.of("m0", "m1"))
                .engine("b", Set.of(), Set.of("m2"))
                .engine("c", Set.of(), Set.of());

        assertThat(mPool.plan().orders())
                .isNotEmpty()
                .allMatch(PlannedOrder::fromStore)
                .noneMatch(order -> Set.of("m0", "m1", "m2").contains(order.model()));
    }

    /**
     * Pattern "rare models at once": guards against models that make way for each other before
     * their callers have reached them.
     */
    @Test
    void doesNotEvictARecentlyLoadedModel() {
        mPool.mRecentlyLoaded.add("m1");
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .urgentCalls("m2", 6)
                .urgentCalls("m3", 12)
                .demand("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD && order.model().equals("m2"));
    }

    @Test
    void ignoresDemandForAModelThatIsNotConfigured() {
        mPool.engine("a", Set.of(), Set.of()).demand("unknown", 1000);

        LoadPlan plan = mPool.plan();

        assertThat(plan.expectedWaits()).doesNotContainKey(model("unknown"));
        assertThat(plan.orders()).noneMatch(order -> order.model().equals("unknown"));
    }

    private static Set<String> allModels() {
        return PlannerFixture.profile(20).models().keySet();
    }
}
