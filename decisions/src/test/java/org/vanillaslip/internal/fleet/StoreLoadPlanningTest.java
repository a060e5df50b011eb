package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.fleet.PlannerFixture.DISK_LOAD_TIME;
import static org.vanillaslip.internal.fleet.PlannerFixture.STORE_LOAD_TIME;
import static org.vanillaslip.internal.fleet.PlannerFixture.model;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;

/** Tests which loads from the weight store are planned, and where. */
class StoreLoadPlanningTest {

    private final PlannerFixture mPool = new PlannerFixture();

    /** Guards against loads from the store that block engines, so that others read it as well. */
    @Test
    void waitsForACopyOnAnEngineThatReadsTheStore() {
        mPool.engine("a", Set.of(), Set.of())
                .engine("b", Set.of(), Set.of("m7"), Map.of(), STORE_LOAD_TIME, Optional.of("m3"))
                .demand("m7", 2900);

        LoadPlan plan = mPool.plan();

        assertThat(plan.orders()).isEmpty();
        assertThat(plan.expectedWaits().get(model("m7")))
                .isGreaterThan(STORE_LOAD_TIME.plus(DISK_LOAD_TIME));
    }

    /** Guards against adapters that cannot be loaded while their engine reads from the store. */
    @Test
    void readsTheStoreOnAnEngineWithoutRequestedAdapters() {
        for (int call = 0; call < 6; call++) {
            ModelName adapter = new ModelName("m1", Optional.of("a" + call));
            mPool.mHistory.recordAdapterRequest(adapter, mPool.mNow);
        }
        mPool.engine("a", Set.of("m1"), Set.of())
                .engine(
                        "b",
                        Set.of("m2"),
                        Set.of(),
                        Map.of("m2", 9),
                        Duration.ZERO,
                        Optional.empty())
                .demand("m7", 2900);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.instance().equals("b"));
    }

    /** Guards against engines that read from the store while callers wait for copies on them. */
    @Test
    void loadsFromCopiesBeforeItReadsTheStore() {
        mPool.engine("a", Set.of(), Set.of("m8")).demand("m7", 1000).demand("m8", 2500);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m8"));
    }

    /** Guards against a model that is passed over each time because its callers are late. */
    @Test
    void readsTheModelWithTheMostCallersSinceItsLastLoadFromTheStore() {
        mPool.engine("a", Set.of(), Set.of())
                .nonUrgentCalls("m7", 3)
                .nonUrgentCalls("m8", 1)
                .demand("m7", -500)
                .demand("m8", 2500);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m7"));
    }

    @Test
    void forgetsTheCallersOfAModelThatWasLoaded() {
        mPool.nonUrgentCalls("m7", 3).engine("a", Set.of("m7"), Set.of("m7")).plan();
        mPool.mEngines.clear();
        mPool.engine("b", Set.of(), Set.of())
                .nonUrgentCalls("m8", 1)
                .demand("m7", 2400)
                .demand("m8", 2500);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.model().equals("m8"));
    }
}
