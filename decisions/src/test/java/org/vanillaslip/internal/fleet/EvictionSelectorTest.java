package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;

/** Tests which models are never unloaded for another one. */
class EvictionSelectorTest {

    private final PlannerFixture mPool = new PlannerFixture();

    /** Guards against a load of seconds that is undone before its callers are served. */
    @Test
    void unloadsNoModelThatHasJustBeenLoaded() {
        mPool.mRecentlyLoaded.addAll(Set.of("m1", "m2", "m3"));
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7")).demand("m7", 2900);

        assertThat(mPool.plan().orders()).isEmpty();
    }

    /** Guards against a model that is unloaded with its adapters while callers wait for one. */
    @Test
    void unloadsNoModelWhoseAdapterIsRequested() {
        mPool.engine("a", Set.of("m1", "m2", "m3"), Set.of("m7")).demand("m7", 2900);
        for (String name : Set.of("m1", "m2", "m3")) {
            mPool.demand(new ModelName(name, Optional.of("a1")), 400, 1);
        }

        assertThat(mPool.plan().orders())
                .extracting(PlannedOrder::kind, order -> order.adapter().isPresent())
                .containsExactly(tuple(OrderKind.LOAD, true));
    }
}
