package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.vanillaslip.Host;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.fleet.StoreAnswerHistory;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.routing.FleetRetryAllowance;
import org.vanillaslip.internal.routing.RetryBudget;
import org.vanillaslip.internal.routing.RetryExtraShare;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.settings.ServingSettings;

/** This host's parts of the retry budgets of all pools; used on the decision loop only. */
final class RetryBudgets {

    private final ServingSettings mServing;
    private final HostView mHosts;
    private final StoreAnswerHistory mStoreAnswers;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final RetryExtraShare mExtraShare;
    private final Map<String, RetryBudget> mBudgetsByPool = new HashMap<>();

    RetryBudgets(
            String self,
            ServingSettings serving,
            HostView hosts,
            StoreAnswerHistory storeAnswers,
            DecisionLoop loop,
            EventLog log) {
        mServing = serving;
        mHosts = hosts;
        mStoreAnswers = storeAnswers;
        mLoop = loop;
        mLog = log;
        mExtraShare = new RetryExtraShare(self, serving.retryExtra(), serving.retryWindow());
    }

    /** Starts to follow the list of hosts. */
    void start() {
        mHosts.changes().publishOn(mLoop.scheduler()).subscribe(this::updateShare);
    }

    /** Counts a call that has arrived. */
    void recordCall(RelayCall call) {
        budget(call).recordRequest(now());
    }

    /** Reserves a retry of the call; logs why the first one of a call is refused. */
    boolean tryReserve(RelayCall call) {
        updateShare(mHosts.hosts());
        RetryBudget budget = budget(call);
        if (budget.tryReserve(now())) {
            call.setRetryReserved(true);
            return true;
        }
        if (call.recordRetryRefused()) {
            logRefused(call, budget);
        }
        return false;
    }

    /** Takes a retry that is sent now; returns false if the budget does not allow it. */
    boolean tryAcquire(RelayCall call) {
        if (!tryReserve(call)) {
            return false;
        }
        recordSend(call);
        return true;
    }

    private void logRefused(RelayCall call, RetryBudget budget) {
        mLog.log(
                RelayEvent.RETRY_REFUSED,
                field("request", call.head().id()),
                field("pool", call.target().pool()),
                field("used", budget.used(now())),
                field("allowed", budget.allowed(now())),
                field("hosts", mExtraShare.hosts()),
                field("extra", mExtraShare.retries(now())));
    }

    /** Counts the reserved retry of the call, if there is one, from now on. */
    void recordSend(RelayCall call) {
        if (call.isRetryReserved()) {
            call.setRetryReserved(false);
            budget(call).recordRetry(now());
        }
    }

    /** Gives back the reserved retry of a call that is not sent. */
    void cancelReservation(RelayCall call) {
        if (call.isRetryReserved()) {
            call.setRetryReserved(false);
            budget(call).cancelReservation();
        }
    }

    private void updateShare(List<Host> hosts) {
        mExtraShare.update(
                hosts.stream().map(Host::name).collect(Collectors.toSet()),
                mStoreAnswers.silenceNanos(now()),
                now());
    }

    private RetryBudget budget(RelayCall call) {
        return mBudgetsByPool.computeIfAbsent(
                call.target().pool(),
                pool ->
                        new RetryBudget(
                                new FleetRetryAllowance(mServing.retryRatio(), mExtraShare),
                                mServing.retryWindow()));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
