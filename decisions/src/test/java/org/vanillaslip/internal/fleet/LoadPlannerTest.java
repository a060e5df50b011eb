package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;
import static org.vanillaslip.internal.fleet.PlannerFixture.FROM_DISK;
import static org.vanillaslip.internal.fleet.PlannerFixture.FROM_STORE;
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
    void loadsAWantedModelWhereItsWeightsLieOnTheDisk() {
        mPool.engine("a", Set.of(), Set.of()).engine("b", Set.of(), Set.of("m7")).wish("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders())
                .extracting(PlannedOrder::instance, PlannedOrder::kind, PlannedOrder::model)
                .containsExactly(tuple("b", OrderKind.LOAD, "m7"));
        assertThat(plan.expectedWaits().get(model("m7"))).isLessThan(Duration.ofSeconds(2));
    }

    /** Guards against a store load that begins while the engine with the copy is busy. */
    @Test
    void waitsForABusyEngineWithACopyRatherThanReadingTheStore() {
        mPool.engine("a", Set.of(), Set.of())
                .engine(
                        "b",
                        Set.of(),
                        Set.of("m7"),
                        Map.of(),
                        Duration.ofMillis(900),
                        Optional.of("m3"))
                .wish("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).isEmpty();
        assertThat(plan.expectedWaits().get(model("m7")))
                .isBetween(FROM_DISK.plusMillis(900), FROM_DISK.plusMillis(1400));
    }

    @Test
    void readsTheStoreWhenNoEngineHasACopy() {
        mPool.engine("a", Set.of(), Set.of()).wish("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).singleElement().matches(PlannedOrder::fromStore);
        assertThat(plan.expectedWaits().get(model("m7"))).isGreaterThanOrEqualTo(FROM_STORE);
    }

    /** Guards against more loads at once than the store serves at full speed. */
    @Test
    void beginsNoMoreStoreLoadsThanTheStoreServesAtOnce() {
        mPool.mStoreFree = 1;
        mPool.engine("a", Set.of(), Set.of())
                .engine("b", Set.of(), Set.of())
                .wish("m7", 2900)
                .wish("m8", 2950);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).singleElement().matches(order -> order.model().equals("m7"));
        assertThat(plan.expectedWaits().get(model("m8"))).isGreaterThan(FROM_STORE);
    }

    /** Guards against memory that is overcommitted: something makes way first. */
    @Test
    void unloadsBeforeItLoadsOnAFullEngine() {
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7")).wish("m7", 2900);

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
    void keepsRoomForLoadsOfUnknownOutcome() {
        mPool.mLate = new UnconfirmedLoads(70_000, 0);
        mPool.engine("a", Set.of("m1", "m2"), Set.of("m7")).wish("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD);
    }

    /** Guards against the same where even an unload would let too much in. */
    @Test
    void ordersNothingWhereLateLoadsWouldNotFit() {
        mPool.mLate = new UnconfirmedLoads(140_000, 1);
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .wish("m7", 2900)
                .wish(new ModelName("m1", Optional.of("a1")), 400, 1);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Pattern "busy models moving on": the idle model makes way, not the busy ones. */
    @Test
    void theModelThatNobodyAsksForMakesWay() {
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .urgentCalls("m1", 30)
                .urgentCalls("m3", 30)
                .wish("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m2"));
    }

    /** An unload waits for running calls, so it would hold the engine up for seconds. */
    @Test
    void aModelWithoutRunningCallsMakesWay() {
        mPool.engine(
                        "a",
                        Set.of("m1", "m2", "m3"),
                        Set.of("m7"),
                        Map.of("m1", 1, "m2", 2),
                        Duration.ZERO,
                        Optional.empty())
                .wish("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m3"));
    }

    /** Guards against two models that evict each other while callers wait for both. */
    @Test
    void aModelThatCallersWaitForIsTheLastToMakeWay() {
        ModelName adapter = new ModelName("m1", Optional.of("a1"));
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .wish("m7", 2900)
                .wish(adapter, 400, 1);

        assertThat(mPool.plan().orders())
                .filteredOn(order -> order.kind() == OrderKind.UNLOAD)
                .singleElement()
                .matches(order -> !order.model().equals("m1"));
    }

    /** Pattern "rare models at once": one order per engine, the earliest objective first. */
    @Test
    void theModelWhoseCallersBecomeLateFirstIsLoadedFirst() {
        mPool.engine("a", Set.of(), Set.of("m7", "m8", "m9"))
                .wish("m7", 2900)
                .wish("m8", 1500)
                .wish("m9", 2000);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).singleElement().matches(order -> order.model().equals("m8"));
        assertThat(plan.expectedWaits().get(model("m9")))
                .isLessThan(plan.expectedWaits().get(model("m7")));
    }

    /** Pattern "burst of the patient kind": callers that are late already wait behind others. */
    @Test
    void callersWhoAreStillOnTimeComeBeforeLateOnes() {
        mPool.engine("a", Set.of(), Set.of("m7", "m8")).wish("m7", -500).wish("m8", 2500);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m8"));
    }

    @Test
    void urgentPrioritiesComeFirst() {
        mPool.engine("a", Set.of(), Set.of("m7", "m8"))
                .wish(model("m7"), 500, 2)
                .wish(model("m8"), 2500, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m8"));
    }

    @Test
    void waitingCallersShareTheLoadThatIsUnderWay() {
        mPool.engine("a", Set.of(), Set.of("m7"))
                .engine(
                        "b",
                        Set.of(),
                        Set.of("m7"),
                        Map.of(),
                        Duration.ofMillis(700),
                        Optional.of("m7"))
                .wish("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).isEmpty();
        assertThat(plan.expectedWaits().get(model("m7"))).isLessThan(Duration.ofSeconds(1));
    }

    @Test
    void loadsAnAdapterOnTheLeastUsedEngineThatHoldsItsModel() {
        ModelName adapter = new ModelName("m1", Optional.of("a3"));
        mPool.engine("a", Set.of("m1"), Set.of(), Map.of("m1", 9), Duration.ZERO, Optional.empty())
                .engine("b", Set.of("m1"), Set.of())
                .wish(adapter, 400, 0);

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
    void anAdapterThatIsBeingLoadedIsNotLoadedElsewhere() {
        ModelName adapter = new ModelName("m1", Optional.of("a3"));
        mPool.engine(
                        "a",
                        Set.of("m1"),
                        Set.of(),
                        Map.of(),
                        Duration.ofMillis(20),
                        Optional.of(adapter.toString()))
                .engine("b", Set.of("m1"), Set.of())
                .wish(adapter, 400, 0);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /**
     * Guards against adapters in use that make way, which holds the engine up until their calls
     * end.
     */
    @Test
    void theAdapterThatNobodyAskedForLongestMakesWay() {
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
                .wish(new ModelName("m1", Optional.of("a9")), 400, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.adapter().equals(Optional.of("a5")));
    }

    /** Guards against two adapters that evict each other while callers wait for both. */
    @Test
    void anAdapterThatCallersWaitForDoesNotMakeWay() {
        Set<String> adapters = Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");
        mPool.engine(
                "a", Map.of("m1", adapters), Set.of(), Map.of(), Duration.ZERO, Optional.empty());
        mPool.engine(
                "b", Set.of("m1"), Set.of(), Map.of(), Duration.ofSeconds(1), Optional.empty());
        adapters.forEach(name -> mPool.wish(new ModelName("m1", Optional.of(name)), 400, 0));
        mPool.wish(new ModelName("m1", Optional.of("a9")), 400, 0);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Guards against a server that crashes because it holds too many adapters. */
    @Test
    void anAdapterMakesWayWhenAllPlacesAreTaken() {
        Set<String> eight = Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");
        mPool.engine("a", Map.of("m1", eight), Set.of(), Map.of(), Duration.ZERO, Optional.empty())
                .wish(new ModelName("m1", Optional.of("a9")), 400, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD && order.adapter().isPresent());
    }

    /** Pattern "steady mix": a busy model stands on two servers before one of them is lost. */
    @Test
    void copiesABusyModelToASecondEngine() {
        mPool.engine("a", Set.of("m1"), Set.of("m1"))
                .engine("b", Set.of(), Set.of("m1"))
                .urgentCalls("m1", 30);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.instance().equals("b") && order.model().equals("m1"));
    }

    @Test
    void patientModelsAreNotCopied() {
        mPool.engine("a", Set.of("m1"), Set.of("m1"))
                .engine("b", Set.of(), allModels())
                .patientCalls("m1", 30);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Pattern "long calls": few calls a second of one model fill the places of its server. */
    @Test
    void copiesAModelWhoseCallsTakeMostPlacesOfItsServer() {
        mPool.engine(
                        "a",
                        Set.of("m1"),
                        Set.of("m1"),
                        Map.of("m1", 30),
                        Duration.ZERO,
                        Optional.empty())
                .engine("b", Set.of(), Set.of("m1"))
                .patientCalls("m1", 30);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.instance().equals("b") && order.model().equals("m1"));
    }

    /** Guards against copies of models whose server has places left. */
    @Test
    void leavesAModelWhoseCallsTakeFewPlacesOnOneServer() {
        mPool.engine(
                        "a",
                        Set.of("m1"),
                        Set.of("m1"),
                        Map.of("m1", 15),
                        Duration.ZERO,
                        Optional.empty())
                .engine("b", Set.of(), allModels())
                .patientCalls("m1", 30);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    @Test
    void theIdleStoreSeedsModelsThatNoServerHas() {
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
    void aModelThatWasJustLoadedDoesNotMakeWay() {
        mPool.mFresh.add("m1");
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7"))
                .urgentCalls("m2", 6)
                .urgentCalls("m3", 12)
                .wish("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.kind() == OrderKind.UNLOAD && order.model().equals("m2"));
    }

    @Test
    void aModelThatIsNotConfiguredIsNotExpected() {
        mPool.engine("a", Set.of(), Set.of()).wish("unknown", 1000);

        LoadPlan plan = mPool.plan();

        assertThat(plan.expectedWaits()).doesNotContainKey(model("unknown"));
        assertThat(plan.orders()).noneMatch(order -> order.model().equals("unknown"));
    }

    private static Set<String> allModels() {
        return PlannerFixture.profile(20).models().keySet();
    }
}
