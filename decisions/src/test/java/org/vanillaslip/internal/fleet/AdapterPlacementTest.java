package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;

/** Tests on which of several engines with its model an adapter is loaded. */
class AdapterPlacementTest {

    private static final Set<String> ALL_SLOTS =
            Set.of("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8");

    private final PlannerFixture mPool = new PlannerFixture();

    /** Guards against adapters that are unloaded although another engine has a free slot. */
    @Test
    void prefersAnEngineWithAFreeAdapterSlot() {
        engine("a", ALL_SLOTS, 0);
        engine("b", Set.of("a1"), 9);
        mPool.demand(adapter("a9"), 400, 0);

        assertThat(mPool.plan().orders())
                .singleElement()
                .matches(order -> order.instance().equals("b"))
                .matches(order -> order.kind() == OrderKind.LOAD);
    }

    /** Guards against an adapter that waits because the least busy engine can't free a slot. */
    @Test
    void usesAnotherEngineIfAllAdaptersOfTheLeastBusyOneAreRequested() {
        engine("a", ALL_SLOTS, 0);
        engine("b", Set.of("b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8"), 9);
        ALL_SLOTS.forEach(name -> mPool.demand(adapter(name), 400, 0));
        mPool.demand(adapter("a9"), 300, 0);

        assertThat(mPool.plan().orders())
                .anySatisfy(
                        order -> {
                            assertThat(order.instance()).isEqualTo("b");
                            assertThat(order.loadTarget()).isEqualTo(adapter("a9").toString());
                        });
    }

    private void engine(String name, Set<String> adapters, int running) {
        mPool.engine(
                name,
                Map.of("m1", adapters),
                Set.of(),
                Map.of("m1", running),
                Duration.ZERO,
                Optional.empty());
    }

    private static ModelName adapter(String name) {
        return new ModelName("m1", Optional.of(name));
    }
}
