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

    /** Guards against a load of 6 s from the store instead of 1.2 s from a disk. */
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

    /** Guards against a store load while the engine with the copy is busy for a short time. */
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

    /** Guards against store loads that slow each other down. */
    @Test
    void startsNoMoreStoreLoadsThanTheStoreServesAtFullSpeed() {
        mPool.mStoreBudget = 1;
        mPool.engine("a", Set.of(), Set.of())
                .engine("b", Set.of(), Set.of())
                .demand("m7", 2900)
                .demand("m8", 2950);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).singleElement().matches(order -> order.model().equals("m7"));
        assertThat(plan.expectedWaits().get(model("m8"))).isGreaterThan(STORE_LOAD_TIME);
    }

    /** Guards against overcommitted memory. */
    @Test
    void unloadsBeforeItLoadsOnAFullEngine() {
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7")).demand("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders())
                .singleElement()
                .satisfies(
                        order -> {
                            assertThat(order.kind()).isEqualTo(OrderKind.UNLOAD);
                            assertThat(order.loadTarget()).isEqualTo("m7");
                        });
    }

    /** Guards against memory that is overcommitted by a late order of unknown outcome. */
    @Test
    void reservesMemoryForUnconfirmedLoads() {
        mPool.mUnconfirmedLoads = new UnconfirmedLoads(70_000, 0);
        mPool.engine("a", Set.of("m1", "m2"), Set.of("m7")).demand("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD);
    }

    /** Guards against memory that late orders overcommit even after an unload. */
    @Test
    void ordersNothingWhenUnconfirmedLoadsWouldNotFit() {
        mPool.mUnconfirmedLoads = new UnconfirmedLoads(140_000, 1);
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .demand("m7", 2900)
                .demand(new ModelName("m1", Optional.of("a1")), 400, 1);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Guards against the eviction of busy models when the set of busy models changes. */
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

    /** An unload waits for running calls, which would block the engine for seconds. */
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

    /** Several rarely used models are requested at once, but an engine accepts one order. */
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

    /** In a burst of non-urgent calls, those past their objective wait behind the others. */
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

    /** Guards against one adapter that takes slots on several engines. */
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

    /** Guards against unloads of adapters in use, which block the engine until their calls end. */
    @Test
    void evictsTheLeastRecentlyRequestedAdapter() {
        Set<String> adapters = Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");
        for (String name : adapters) {
            boolean leastRecent = name.equals("a5");
            long at = mPool.mNow - Duration.ofSeconds(leastRecent ? 9 : 2).toNanos();
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
        Set<String> allSlots = Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");
        mPool.engine(
                        "a",
                        Map.of("m1", allSlots),
                        Set.of(),
                        Map.of(),
                        Duration.ZERO,
                        Optional.empty())
                .demand(new ModelName("m1", Optional.of("a9")), 400, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD && order.adapter().isPresent());
    }

    /** A busy model stays available when one of its servers fails. */
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

    /** A low rate of long calls can fill the request slots of a server. */
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

    /** Guards against replicas of models whose server has free request slots. */
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

    /** Guards against models, requested at once, that evict each other before calls reach them. */
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
