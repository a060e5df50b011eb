package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.fleet.CallTarget;
import org.vanillaslip.internal.fleet.PlanView;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.quota.WorkspaceLimits;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.PoolShare;
import org.vanillaslip.internal.serving.ServedRoute;
import org.vanillaslip.internal.serving.ServicePool;
import org.vanillaslip.internal.serving.ServingPlan;
import org.vanillaslip.internal.serving.WorkspacePolicy;

/** Finds route and workspace of a call and charges its workspace. */
final class CallAdmission {

    private static final Duration NOT_READY_RETRY = Duration.ofMillis(500);

    private final PlanView mPlans;
    private final CallDialect mDialect;
    private final WorkspaceLimits mLimits;
    private final DecisionLoop mLoop;
    private final RandomGenerator mRandom;

    CallAdmission(
            PlanView plans,
            CallDialect dialect,
            WorkspaceLimits limits,
            DecisionLoop loop,
            RandomGenerator random) {
        mPlans = plans;
        mDialect = dialect;
        mLimits = limits;
        mLoop = loop;
        mRandom = random;
    }

    /** Returns the configuration in force, or refuses because there is none. */
    ServingPlan plan() {
        return mPlans.current()
                .orElseThrow(
                        () ->
                                new RefusedException(
                                        Refusal.retryable(
                                                ResultCode.NOT_READY,
                                                "configuration",
                                                NOT_READY_RETRY)));
    }

    /** Returns the admitted call, or ends with {@link RefusedException}. */
    RelayCall admit(
            HttpMethod method, String uri, HttpHeaders headers, byte[] body, long arrivedNanos) {
        ServingPlan plan = plan();
        CallHead head =
                mDialect.parseRequestHead(headers)
                        .getOrElseThrow(refusal -> new RefusedException(refusal));
        ServedRoute route =
                plan.route(host(headers), path(uri))
                        .orElseThrow(() -> refused(ResultCode.UNKNOWN_ROUTE, "path"));
        Optional<WorkspacePolicy> terms =
                route.allowsAnonymous() ? Optional.empty() : terms(plan, head);
        CallTarget target = target(plan, route, head);
        RelayCall call =
                new RelayCall(head, method, uri, headers, body, route, target, terms, arrivedNanos);
        terms.ifPresent(found -> charge(found, head));
        return call;
    }

    /** Gives back what the call was charged, because no server has run it. */
    void giveBack(RelayCall call) {
        call.terms().ifPresent(terms -> mLimits.giveBack(terms, units(terms, call.head())));
    }

    private void charge(WorkspacePolicy terms, CallHead head) {
        mLimits.charge(terms, units(terms, head))
                .ifPresent(
                        refusal -> {
                            throw new RefusedException(refusal);
                        });
    }

    private static long units(WorkspacePolicy terms, CallHead head) {
        return terms.countsTokens() ? head.declaredTokens().orElse(terms.defaultCallUnits()) : 1;
    }

    private static Optional<WorkspacePolicy> terms(ServingPlan plan, CallHead head) {
        String key = head.apiKey().orElseThrow(() -> refused(ResultCode.MISSING_KEY, "key"));
        Optional<WorkspacePolicy> terms = plan.policyForKey(key);
        if (terms.isEmpty()) {
            throw refused(ResultCode.UNKNOWN_KEY, "key");
        }
        return terms;
    }

    private CallTarget target(ServingPlan plan, ServedRoute route, CallHead head) {
        String pool = pool(route);
        boolean engine =
                Optional.ofNullable(plan.pools().get(pool))
                        .flatMap(ServicePool::engine)
                        .isPresent();
        return new CallTarget(pool, engine ? head.model() : Optional.empty());
    }

    private String pool(ServedRoute route) {
        int total = route.pools().stream().mapToInt(PoolShare::weight).sum();
        int drawn = total <= 0 ? 0 : mRandom.nextInt(total);
        for (PoolShare share : route.pools()) {
            drawn -= share.weight();
            if (drawn < 0) {
                return share.pool();
            }
        }
        throw refused(ResultCode.NO_BACKEND_SERVER, route.name());
    }

    private static String host(HttpHeaders headers) {
        @Nullable String host = headers.get(HttpHeaderNames.HOST);
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    private static String path(String uri) {
        int mark = uri.indexOf('?');
        return mark < 0 ? uri : uri.substring(0, mark);
    }

    private static RefusedException refused(ResultCode code, String detail) {
        return new RefusedException(Refusal.of(code, detail));
    }
}
