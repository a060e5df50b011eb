package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Models whose load has just ended; the calls that waited for them are not reported yet. */
final class RecentLoads {

    /** Within two demand reports, the calls that waited for a model are reported as running. */
    private static final Duration RETENTION = Duration.ofMillis(700);

    private final Map<String, Map<String, Long>> mEndedAt = new HashMap<>();

    void recordEnd(PlannedOrder order, long nowNanos) {
        if (order.kind() == OrderKind.LOAD) {
            mEndedAt.computeIfAbsent(order.instance(), instance -> new HashMap<>())
                    .put(order.model(), nowNanos);
        }
    }

    Set<String> modelsOn(String instance, long nowNanos) {
        Map<String, Long> ended = mEndedAt.getOrDefault(instance, new HashMap<>());
        ended.values().removeIf(at -> nowNanos - at > RETENTION.toNanos());
        return Set.copyOf(ended.keySet());
    }

    void removeServers(Predicate<String> instances) {
        mEndedAt.keySet().removeIf(instances);
    }
}
