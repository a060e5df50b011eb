package org.vanillaslip.internal.proofs.capacity;

import io.netty.util.concurrent.Ticker;
import java.io.PrintStream;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.ConfigurationState;

/** Measures the heap used by the configuration and the time to apply one change. */
final class ConfigurationCapacity {

    private static final double[] FRACTIONS = {0.125, 0.25, 0.5, 1.0};
    private static final int CHANGES = 30;
    private static final int WARM_UP_CHANGES = 10;
    private static final int NANOS_PER_MICROSECOND = 1000;

    private final PrintStream mOutput;

    ConfigurationCapacity(PrintStream output) {
        mOutput = output;
    }

    void run() {
        mOutput.println(
                "| share of design size | items | heap MB | change p50 ms | change max ms |");
        mOutput.println("|---|---|---|---|---|");
        for (double fraction : FRACTIONS) {
            measure(fraction);
        }
    }

    private void measure(double fraction) {
        List<VersionedItem> items = DesignSizeItems.atFraction(fraction);
        Heap.Retained<ConfigurationState> state =
                Heap.retainedBy(
                        () ->
                                ConfigurationState.empty()
                                        .merge(DesignSizeItems.atFraction(fraction)));
        if (state.value().current().isEmpty()) {
            throw new IllegalStateException("merged state is not valid: " + state.value().faults());
        }
        Histogram times = measureChanges(state.value(), items);
        mOutput.printf(
                "| %.3f | %d | %.1f | %.1f | %.1f |%n",
                fraction,
                items.size(),
                state.bytes() / 1e6,
                times.getValueAtPercentile(50) / 1e3,
                times.getMaxValue() / 1e3);
    }

    private static Histogram measureChanges(ConfigurationState initial, List<VersionedItem> items) {
        Histogram times = new Histogram(3);
        ConfigurationState state = initial;
        for (int i = 1; i <= WARM_UP_CHANGES + CHANGES; i++) {
            VersionedItem change = DesignSizeItems.planChange(items, i);
            long start = Ticker.systemTicker().nanoTime();
            state = state.merge(List.of(change));
            if (i > WARM_UP_CHANGES) {
                times.recordValue(
                        (Ticker.systemTicker().nanoTime() - start) / NANOS_PER_MICROSECOND);
            }
        }
        return times;
    }
}
