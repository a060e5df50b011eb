package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

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
    private final Map<String, Integer> mRetries = new HashMap<>();

    /** Returns the usual time of an accepted order of a model, after which it counts as done. */
    static Duration usualTime(PlannedOrder order) {
        return order.kind() == OrderKind.UNLOAD
                ? UNLOAD_TIME
                : order.expectedDuration().plus(LOAD_MARGIN);
    }

    void clear() {
        mAssumedDone.clear();
        mRetries.clear();
    }

    /** Records that the order is assumed as completed. */
    void record(PendingOrder order) {
        mAssumedDone.put(order.order().instance(), order);
    }

    /** Records that the engine has accepted another order, and so has completed the one before. */
    void recordAccepted(String instance) {
        mAssumedDone.remove(instance);
        mRetries.remove(instance);
    }

    /** Withdraws the assumption, because the engine refused the next order. */
    Optional<PendingOrder> withdraw(String instance) {
        return Optional.ofNullable(mAssumedDone.remove(instance));
    }

    /** Returns when to assume the end of the unload again after the next order was refused. */
    Optional<Duration> nextRetryDelay(PendingOrder unload) {
        int retries = mRetries.merge(unload.order().instance(), 1, Integer::sum);
        return retries > MAX_RETRIES
                ? Optional.empty()
                : Optional.of(FIRST_RETRY_DELAY.multipliedBy(1L << (retries - 1)));
    }
}
