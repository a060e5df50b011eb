package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against changes of adapters that take longer because an order count is uncertain. */
class AdapterChangeTest {

    private final HolderChangeSimulation mSimulation = new HolderChangeSimulation(1, 1);
    private final List<EngineOrder> mSent = new ArrayList<>();
    private final List<Long> mSentAt = new ArrayList<>();
    private final EngineSimulation.Engine mEngine = mSimulation.mEngines.add("c", Set.of("m5"));

    /** Guards against a second attempt of each order after the unload of an adapter. */
    @Test
    void theOrderAfterTheUnloadOfAnAdapterThatThisHostLoadedIsAcceptedAtOnce() {
        start(Set.of());
        loadAdapters("a1", "a2", "a3", "a4");

        assertThat(mSent).extracting(EngineOrder::kind).contains(OrderKind.UNLOAD);
        assertThat(mSent).hasSize(mSimulation.mEngines.mAccepted.size());
    }

    /** Guards against a wait for a report after the unload of an adapter of an earlier holder. */
    @Test
    void theOrderAfterTheUnloadOfAnotherAdapterIsRepeatedAtOnce() {
        start(Set.of("a1", "a2"));
        loadAdapters("a3");

        assertThat(mSent)
                .extracting(EngineOrder::kind)
                .containsExactly(OrderKind.UNLOAD, OrderKind.LOAD, OrderKind.LOAD);
        assertThat(mSent).extracting(EngineOrder::expectedOrders).containsExactly(0L, 0L, 1L);
        assertThat(mSentAt.get(2) - mSentAt.get(1)).isLessThan(50);
        assertThat(mEngine.mAdapters.get("m5")).contains("a3");
    }

    /** Guards against a count that is too high after an unload that the server did not count. */
    @Test
    void aServerThatDidNotCountTheUnloadExecutesTheNextOrder() {
        start(Set.of("a1", "a2"));
        mSimulation.mEngines.mDelayMillis =
                order -> {
                    record(order);
                    if (order.kind() == OrderKind.UNLOAD) {
                        mEngine.mAdapters.get("m5").remove(order.adapter().orElseThrow());
                    }
                    return 0;
                };
        loadAdapters("a3");

        assertThat(mSent)
                .extracting(EngineOrder::kind)
                .containsExactly(OrderKind.UNLOAD, OrderKind.LOAD);
        assertThat(mEngine.mAdapters.get("m5")).contains("a3");
        assertThat(mEngine.mOrderCount).isEqualTo(1);
    }

    private void start(Set<String> adapters) {
        mEngine.mAdapters.put("m5", new HashSet<>(adapters));
        mSimulation.mEngines.mDelayMillis =
                order -> {
                    record(order);
                    return 0;
                };
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(5));
    }

    private void record(EngineOrder order) {
        mSent.add(order);
        mSentAt.add(mSimulation.mLeases.millis());
    }

    private void loadAdapters(String... adapters) {
        for (String adapter : adapters) {
            mSimulation.request("m5:" + adapter);
            mSimulation.run(Duration.ofSeconds(4));
        }
        assertThat(mSimulation.mEngines.mViolations).isEmpty();
    }
}
