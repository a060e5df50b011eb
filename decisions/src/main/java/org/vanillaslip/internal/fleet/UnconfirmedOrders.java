package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Tracks orders that were sent but not answered. An engine may execute such an order seconds later,
 * provided that the number of orders it has accepted equals the number that the order expects.
 * While the engine keeps running this is safe, because its state is determined by that number. A
 * restarted engine counts from zero again, so that it can reach the same number with other models
 * in memory.
 */
public final class UnconfirmedOrders {

    /** Engines execute an order at most 12 s late; the rest allows for the network delay. */
    public static final Duration MAX_EXECUTION_DELAY = Duration.ofSeconds(13);

    /** Upper bound of consecutive late orders from a previous lease holder. */
    private static final int MAX_UNKNOWN_ORDERS = 2;

    private record SentOrder(PlannedOrder order, long expectedOrders, long atNanos) {}

    private final Map<String, List<SentOrder>> mSent = new HashMap<>();
    private Optional<Long> mTakeoverAt = Optional.empty();

    /** Records an order that is about to be sent. */
    public void recordSent(PlannedOrder order, long expectedOrders, long nowNanos) {
        mSent.computeIfAbsent(order.instance(), instance -> new ArrayList<>())
                .add(new SentOrder(order, expectedOrders, nowNanos));
    }

    /** Removes an order whose outcome is known. */
    public void recordOutcome(PlannedOrder order) {
        mSent.computeIfPresent(
                order.instance(),
                (instance, orders) -> {
                    orders.removeIf(sent -> sent.order() == order);
                    return orders.isEmpty() ? null : orders;
                });
    }

    /** Returns the servers that have not answered an order and may still execute it. */
    public Set<String> unansweredServers(long nowNanos) {
        List.copyOf(mSent.keySet()).forEach(instance -> unansweredOrders(instance, nowNanos));
        return Set.copyOf(mSent.keySet());
    }

    /** Returns whether the server may execute an unanswered order at the given order count. */
    public boolean mayExecute(String instance, long orderCount, long nowNanos) {
        return unansweredOrders(instance, nowNanos).stream()
                .anyMatch(sent -> sent.expectedOrders() == orderCount);
    }

    /** Records that this host took over from another one, whose unanswered orders are unknown. */
    public void recordTakeover(long nowNanos) {
        mTakeoverAt = Optional.of(nowNanos);
    }

    /**
     * Returns an upper bound of what unconfirmed orders may load on an engine that has accepted the
     * given number of orders.
     *
     * @param orderCount number of orders that the engine has accepted since its start
     * @param engineAge time since the engine started
     * @param firstStart whether no engine of this name existed before, so that no order from before
     *     its start refers to it
     */
    public UnconfirmedLoads possibleLoads(
            String instance,
            long orderCount,
            Duration engineAge,
            boolean firstStart,
            EngineProfile profile,
            long nowNanos) {
        UnconfirmedLoads possible =
                firstStart
                        ? UnconfirmedLoads.NONE
                        : loadsOfPreviousHolder(engineAge, profile, nowNanos);
        List<SentOrder> unanswered = unansweredOrders(instance, nowNanos);
        // A late order increments the engine's order count, which may match the next late order.
        for (long expected = orderCount; ; expected++) {
            UnconfirmedLoads next = UnconfirmedLoads.NONE;
            boolean orderFound = false;
            for (SentOrder sent : unanswered) {
                if (sent.expectedOrders() == expected) {
                    orderFound = true;
                    next = next.max(requiredBy(sent.order(), profile));
                }
            }
            if (!orderFound) {
                return possible;
            }
            possible = possible.plus(next);
        }
    }

    private List<SentOrder> unansweredOrders(String instance, long nowNanos) {
        List<SentOrder> orders = mSent.getOrDefault(instance, new ArrayList<>());
        orders.removeIf(sent -> nowNanos - sent.atNanos() > MAX_EXECUTION_DELAY.toNanos());
        if (orders.isEmpty()) {
            mSent.remove(instance);
        }
        return orders;
    }

    /** Only a recently started engine can match an order that was sent before the takeover. */
    private UnconfirmedLoads loadsOfPreviousHolder(
            Duration engineAge, EngineProfile profile, long nowNanos) {
        boolean recentTakeover =
                mTakeoverAt.isPresent()
                        && nowNanos - mTakeoverAt.get() < MAX_EXECUTION_DELAY.toNanos();
        if (!recentTakeover || engineAge.compareTo(MAX_EXECUTION_DELAY) > 0) {
            return UnconfirmedLoads.NONE;
        }
        double largest =
                profile.models().values().stream()
                        .mapToDouble(ModelProfile::weightsMegabytes)
                        .max()
                        .orElse(0);
        return new UnconfirmedLoads(MAX_UNKNOWN_ORDERS * largest, MAX_UNKNOWN_ORDERS);
    }

    private static UnconfirmedLoads requiredBy(PlannedOrder order, EngineProfile profile) {
        if (order.kind() == OrderKind.UNLOAD) {
            return UnconfirmedLoads.NONE;
        }
        ModelProfile model = profile.models().get(order.model());
        if (order.adapter().isPresent()) {
            return new UnconfirmedLoads(model == null ? 0 : model.adapterMegabytes(), 1);
        }
        // The size of a model that is no longer configured is unknown, so assume it fills the
        // engine.
        double megabytes = model == null ? profile.weightsMegabytes() : model.weightsMegabytes();
        return new UnconfirmedLoads(megabytes, 0);
    }
}
