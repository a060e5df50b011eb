package org.vanillaslip.internal.duty;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LogField;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.scaling.CallPacing;
import org.vanillaslip.internal.scaling.CountOrder;

/** Sends the numbers of servers, one call at a time, until the platform has answered each. */
final class ServerCountSender {

    private static final Comparator<ScaledGroup> BY_NAME =
            Comparator.comparing(ScaledGroup::pool).thenComparing(ScaledGroup::failureDomain);

    private final DutyCalls mCalls;
    private final CallPacing mPacing;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final Map<ScaledGroup, CountOrder> mOrders = new TreeMap<>(BY_NAME);
    private final Map<ScaledGroup, Long> mLastSends = new HashMap<>();
    private long mSendCount;
    private boolean mCallInFlight;

    ServerCountSender(DutyCalls calls, double callsPerSecond, DecisionLoop loop, EventLog log) {
        mCalls = calls;
        mPacing = new CallPacing(callsPerSecond);
        mLoop = loop;
        mLog = log;
    }

    /** Forgets all numbers, because another term of the lease begins. */
    void clear() {
        mOrders.clear();
        mLastSends.clear();
    }

    /**
     * Continues with a number that an earlier holder has recorded.
     *
     * @param uncertain whether the platform may not have received it
     */
    void restore(ScaledGroup group, int servers, boolean uncertain) {
        CountOrder order = new CountOrder(servers);
        if (uncertain) {
            order.recordUncertain();
        }
        mOrders.put(group, order);
    }

    /** Orders a number; it is sent when it is recorded. */
    void order(ScaledGroup group, int before, int servers) {
        mOrders.computeIfAbsent(group, name -> new CountOrder(before)).order(servers);
    }

    /** Repeats the number at a low rate if the list of servers has not followed it. */
    void compareWithList(ScaledGroup group, int ready, Duration bootTime) {
        CountOrder order = mOrders.get(group);
        if (order != null && order.compareWithList(ready, bootTime, now())) {
            mLog.log(
                    ServerCountEvent.COUNT_REPEATED,
                    field("pool", group.pool()),
                    field("failure_domain", group.failureDomain()),
                    field("servers", order.servers()),
                    field("ready", ready));
        }
    }

    /**
     * Sends the next number that is due.
     *
     * @param maySend whether the number is recorded and its failure domain is heard from
     */
    void sendNext(DutyRight right, BiPredicate<ScaledGroup, CountOrder> maySend) {
        if (mCallInFlight || !mPacing.mayCall(now()) || !right.permitted().getAsBoolean()) {
            return;
        }
        // The longest waiting one is next, so that one without an answer holds up no others.
        mOrders.entrySet().stream()
                .filter(entry -> entry.getValue().pending())
                .filter(entry -> maySend.test(entry.getKey(), entry.getValue()))
                .min(Comparator.comparingLong(entry -> lastSend(entry.getKey())))
                .ifPresent(entry -> send(right, entry.getKey(), entry.getValue()));
    }

    private long lastSend(ScaledGroup group) {
        return mLastSends.getOrDefault(group, 0L);
    }

    private void send(DutyRight right, ScaledGroup group, CountOrder order) {
        mCallInFlight = true;
        mLastSends.put(group, ++mSendCount);
        mPacing.recordCall(now());
        int servers = order.servers();
        mCalls.orderServers(right, group.pool(), group.failureDomain(), servers)
                .onErrorReturn(DutyAnswer.UNKNOWN)
                .defaultIfEmpty(DutyAnswer.UNKNOWN)
                .publishOn(mLoop.scheduler())
                .subscribe(answer -> handleAnswer(right, group, order, servers, answer));
    }

    private void handleAnswer(
            DutyRight right, ScaledGroup group, CountOrder order, int servers, DutyAnswer answer) {
        mCallInFlight = false;
        switch (answer) {
            case ACCEPTED -> {
                mPacing.recordSuccess();
                order.recordSettled(servers, now());
                log(ServerCountEvent.COUNT_ACCEPTED, right, group, servers);
            }
            case REJECTED -> {
                // The same number would be rejected again; the list shows whether it is missing.
                mPacing.recordSuccess();
                order.recordSettled(servers, now());
                log(ServerCountEvent.COUNT_REJECTED, right, group, servers);
            }
            case NOT_PERMITTED -> mPacing.recordSuccess();
            case THROTTLED, UNKNOWN, UNREACHED -> {
                Duration pause = mPacing.recordFailure(now());
                log(
                        ServerCountEvent.COUNT_UNANSWERED,
                        right,
                        group,
                        servers,
                        field("answer", answer),
                        field("pause_ms", pause.toMillis()));
            }
        }
    }

    private void log(
            ServerCountEvent event,
            DutyRight right,
            ScaledGroup group,
            int servers,
            LogField... more) {
        LogField[] fields = new LogField[4 + more.length];
        fields[0] = field("pool", group.pool());
        fields[1] = field("failure_domain", group.failureDomain());
        fields[2] = field("servers", servers);
        fields[3] = field("term", right.term());
        System.arraycopy(more, 0, fields, 4, more.length);
        mLog.log(event, fields);
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
