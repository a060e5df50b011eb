package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The last order of each engine that was assumed as completed before a report showed its end. */
final class AssumedCompletions {

    /** Longest unload of a model without running calls. */
    private static final Duration UNLOAD_TIME = Duration.ofMillis(40);

    /** First retry delay of an order refused after an unload, which may wait for running calls. */
    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(25);

    /** The delay doubles with each retry; by the last one, reports show the end of the unload. */
    private static final int MAX_RETRIES = 4;

    /** Added to the usual time of a load from disk or memory for the transfer of the order. */
    private static final Duration LOAD_MARGIN = Duration.ofMillis(30);

    private final Map<String, PendingOrder> mAssumedDone = new HashMap<>();
    private final Set<String> mUnansweredSince = new HashSet<>();
    private final Map<String, Integer> mRetries = new HashMap<>();

    /** Returns the usual time of an accepted order of a model, after which it counts as done. */
    static Duration usualTime(PlannedOrder order) {
        return order.kind() == OrderKind.UNLOAD
                ? UNLOAD_TIME
                : order.expectedDuration().plus(LOAD_MARGIN);
    }

    void clear() {
        mAssumedDone.clear();
        mUnansweredSince.clear();
        mRetries.clear();
    }

    /** Records that the order is assumed as completed. */
    void record(PendingOrder order) {
        mAssumedDone.put(order.order().instance(), order);
        mUnansweredSince.remove(order.order().instance());
    }

    /** Records that the engine was idle when the next order came, so that the assumption holds. */
    void recordIdle(String instance) {
        mAssumedDone.remove(instance);
        mUnansweredSince.remove(instance);
        mRetries.remove(instance);
    }

    /** Records that an order got no answer, so that a later refusal may be due to that order. */
    void recordUnanswered(String instance) {
        mUnansweredSince.add(instance);
    }

    /** Withdraws the assumption, because the engine refused the next order. */
    Optional<PendingOrder> withdraw(FleetMember member) {
        return Optional.ofNullable(mAssumedDone.remove(member.instance()))
                .filter(order -> order.isOf(member));
    }

    /**
     * Returns when to assume the end of the order again after the next order was refused; only a
     * report shows the end of a load, or what has changed if an unanswered order was executed.
     */
    Optional<Duration> nextRetryDelay(PendingOrder order) {
        String instance = order.order().instance();
        if (order.order().kind() == OrderKind.LOAD || mUnansweredSince.contains(instance)) {
            return Optional.empty();
        }
        int retries = mRetries.merge(instance, 1, Integer::sum);
        return retries > MAX_RETRIES
                ? Optional.empty()
                : Optional.of(FIRST_RETRY_DELAY.multipliedBy(1L << (retries - 1)));
    }
}
