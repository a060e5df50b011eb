package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Orders that were sent and not answered. An engine may carry such an order out seconds later, if
 * it has accepted just as many orders by then as the order expects. Within one life of an engine
 * that does no harm, because its state follows from that number. An engine that starts again counts
 * from zero, so the same number comes again with other models in its memory.
 */
public final class UnconfirmedOrders {

    /** The platform's engines carry out an order at most 12 s late; and its way. */
    public static final Duration MAX_EXECUTION_DELAY = Duration.ofSeconds(13);

    /** Orders of another host that may follow each other, one carried out late after the other. */
    private static final int MAX_UNKNOWN_ORDERS = 2;

    private record SentOrder(PlannedOrder order, long expectedOrders, long atNanos) {}

    private final Map<String, List<SentOrder>> mSent = new HashMap<>();
    private Optional<Long> mTakeoverAt = Optional.empty();

    /** Notes an order that is about to be sent. */
    public void recordSent(PlannedOrder order, long expectedOrders, long nowNanos) {
        mSent.computeIfAbsent(order.instance(), instance -> new ArrayList<>())
                .add(new SentOrder(order, expectedOrders, nowNanos));
    }

    /** Notes that the outcome of an order is known. */
    public void recordOutcome(PlannedOrder order) {
        mSent.computeIfPresent(
                order.instance(),
                (instance, orderCount) -> {
                    orderCount.removeIf(sent -> sent.order() == order);
                    return orderCount.isEmpty() ? null : orderCount;
                });
    }

    /** Notes that another host ordered loads until now, whose unanswered orders are not known. */
    public void recordTakeover(long nowNanos) {
        mTakeoverAt = Optional.of(nowNanos);
    }

    /**
     * Returns what late orders may load on an engine that has accepted the given number of orders.
     *
     * @param engineAge time since the engine has started
     * @param firstStart whether no engine of this name was there before, so that no late order
     *     names it but those of its present life
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
        // One late order raises the number, and may let the next one in.
        for (long expected = orderCount; ; expected++) {
            UnconfirmedLoads next = UnconfirmedLoads.NONE;
            boolean found = false;
            for (SentOrder sent : unanswered) {
                if (sent.expectedOrders() == expected) {
                    found = true;
                    next = next.max(requiredBy(sent.order(), profile));
                }
            }
            if (!found) {
                return possible;
            }
            possible = possible.plus(next);
        }
    }

    private List<SentOrder> unansweredOrders(String instance, long nowNanos) {
        List<SentOrder> orderCount = mSent.getOrDefault(instance, new ArrayList<>());
        orderCount.removeIf(sent -> nowNanos - sent.atNanos() > MAX_EXECUTION_DELAY.toNanos());
        if (orderCount.isEmpty()) {
            mSent.remove(instance);
        }
        return orderCount;
    }

    /** Only an engine that started after the other host's orders may meet one with its number. */
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
        // A model that is no longer configured is taken for one that fills the engine.
        double megabytes = model == null ? profile.weightsMegabytes() : model.weightsMegabytes();
        return new UnconfirmedLoads(megabytes, 0);
    }
}
