package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.fleet.CallTarget;
import org.vanillaslip.internal.fleet.PlanView;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.quarantine.PromptFaultExchange;
import org.vanillaslip.internal.quota.WorkspaceCharge;
import org.vanillaslip.internal.quota.WorkspaceLimits;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.PoolShare;
import org.vanillaslip.internal.serving.ServedRoute;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.internal.serving.ServingPlan;
import org.vanillaslip.internal.serving.WorkspacePolicy;

/** Resolves route and workspace of a call and charges the workspace for it. */
final class CallAdmission {

    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(500);

    private final PlanView mPlanView;
    private final CallDialect mDialect;
    private final WorkspaceLimits mLimits;
    private final PromptFaultExchange mPromptFaults;
    private final DecisionLoop mLoop;
    private final RandomGenerator mRandom;

    CallAdmission(
            PlanView planView,
            CallDialect dialect,
            WorkspaceLimits limits,
            PromptFaultExchange promptFaults,
            DecisionLoop loop,
            RandomGenerator random) {
        mPlanView = planView;
        mDialect = dialect;
        mLimits = limits;
        mPromptFaults = promptFaults;
        mLoop = loop;
        mRandom = random;
    }

    /** Returns whether hosts order the number of servers of the pool. */
    boolean isScaled(String pool) {
        return mPlanView
                .current()
                .map(plan -> plan.pools().get(pool))
                .filter(found -> found.scaling().isPresent())
                .isPresent();
    }

    /** Returns the current configuration, or throws {@link RefusedException} if there is none. */
    ServingPlan plan() {
        return mPlanView
                .current()
                .orElseThrow(
                        () ->
                                new RefusedException(
                                        Refusal.retryable(
                                                ResultCode.NOT_READY,
                                                "configuration",
                                                NOT_READY_RETRY_AFTER)));
    }

    /** Returns the admitted call, or throws {@link RefusedException}. */
    RelayCall admit(ReceivedCall received) {
        ServingPlan plan = plan();
        CallHead head =
                mDialect.parseRequestHead(received.headers())
                        .getOrElseThrow(refusal -> new RefusedException(refusal));
        ServedRoute route =
                plan.route(received.host(), received.path())
                        .orElseThrow(() -> refused(ResultCode.UNKNOWN_ROUTE, "path"));
        Optional<WorkspacePolicy> policy =
                route.allowsAnonymous() ? Optional.empty() : policy(plan, head);
        CallTarget target = target(plan, route, head);
        String fingerprint = CallFingerprint.of(received, policy.flatMap(found -> head.apiKey()));
        RelayCall call = new RelayCall(received, head, fingerprint, route, target, policy);
        mPromptFaults.checkParts(call.crashSubjects());
        policy.ifPresent(foundPolicy -> call.recordCharge(charge(foundPolicy, head)));
        return call;
    }

    private WorkspaceCharge charge(WorkspacePolicy policy, CallHead head) {
        return mLimits.charge(policy, units(policy, head))
                .getOrElseThrow(refusal -> new RefusedException(refusal));
    }

    private static long units(WorkspacePolicy policy, CallHead head) {
        return policy.countsTokens() ? head.declaredTokens().orElse(policy.defaultCallUnits()) : 1;
    }

    private static Optional<WorkspacePolicy> policy(ServingPlan plan, CallHead head) {
        String key = head.apiKey().orElseThrow(() -> refused(ResultCode.MISSING_KEY, "key"));
        Optional<WorkspacePolicy> policy = plan.policyForKey(key);
        if (policy.isEmpty()) {
            throw refused(ResultCode.UNKNOWN_KEY, "key");
        }
        return policy;
    }

    private CallTarget target(ServingPlan plan, ServedRoute route, CallHead head) {
        String pool = chooseRandomPool(route);
        boolean isModelEngine =
                Optional.ofNullable(plan.pools().get(pool))
                        .flatMap(ServicePool::engine)
                        .isPresent();
        return new CallTarget(pool, isModelEngine ? head.model() : Optional.empty());
    }

    private String chooseRandomPool(ServedRoute route) {
        int totalWeight = route.pools().stream().mapToInt(PoolShare::weight).sum();
        int remainingWeight = totalWeight <= 0 ? 0 : mRandom.nextInt(totalWeight);
        for (PoolShare share : route.pools()) {
            remainingWeight -= share.weight();
            if (remainingWeight < 0) {
                return share.pool();
            }
        }
        throw refused(ResultCode.NO_BACKEND_SERVER, route.name());
    }

    private static RefusedException refused(ResultCode code, String detail) {
        return new RefusedException(Refusal.of(code, detail));
    }
}
