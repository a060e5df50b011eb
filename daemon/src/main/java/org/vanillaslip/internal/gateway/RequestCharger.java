package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.vanillaslip.RequestClass;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;

/** Charges requests against the quota of their workspace and settles each charge exactly once. */
final class RequestCharger {

    /**
     * Less than half the validity of a grant, so that tokens are used or returned before expiry.
     */
    private static final Duration MAX_QUOTA_WAIT = Duration.ofMillis(1900);

    private final WorkspaceQuotas mQuotas;
    private final DecisionLoop mLoop;

    RequestCharger(WorkspaceQuotas quotas, DecisionLoop loop) {
        mQuotas = quotas;
        mLoop = loop;
    }

    /**
     * Runs the work after its estimate was charged. Requests on open routes have no workspace and
     * are not charged.
     */
    <T> Flux<T> runCharged(
            CallerRequest request, long estimatedTokens, Function<Usage, Flux<T>> work) {
        if (request.caller().workspace().isEmpty()) {
            return Flux.defer(() -> work.apply(new Usage()));
        }
        return mQuotas.charge(
                        request.caller().accountedWorkspace(), estimatedTokens, quotaWait(request))
                .flatMapMany(
                        result ->
                                result.fold(
                                        refusal -> Flux.error(new RefusedException(refusal)),
                                        charge -> runAndSettle(request, charge, work)));
    }

    /**
     * Returns how long the charge may wait: a fraction of the time to the deadline, which leaves
     * the rest for running the request.
     */
    private Duration quotaWait(CallerRequest request) {
        Duration timeToDeadline = request.timeToDeadline(mLoop.clock().nowNanos());
        Duration share = timeToDeadline.dividedBy(deadlineDivisor(request.route().requestClass()));
        return share.compareTo(MAX_QUOTA_WAIT) < 0 ? share : MAX_QUOTA_WAIT;
    }

    private static int deadlineDivisor(RequestClass requestClass) {
        return switch (requestClass) {
            case INTERACTIVE -> 8;
            case WAITING -> 4;
            case BATCH -> 2;
        };
    }

    private <T> Flux<T> runAndSettle(
            CallerRequest request, QuotaCharge charge, Function<Usage, Flux<T>> work) {
        Usage usage = new Usage();
        return work.apply(usage)
                .doFinally(
                        signal ->
                                mLoop.scheduler()
                                        .schedule(
                                                () ->
                                                        mQuotas.settle(
                                                                charge,
                                                                usage.finalTokens(
                                                                        charge.tokens(),
                                                                        request.sendState()))));
    }

    /** Tokens that a request reported as used. */
    static final class Usage {
        private final AtomicLong mReportedTokens = new AtomicLong(-1);

        void report(long tokens) {
            mReportedTokens.set(tokens);
        }

        /**
         * Returns the reported tokens, or the estimate if none were reported and the request may
         * run.
         */
        private long finalTokens(long estimatedTokens, RequestSendState sendState) {
            if (mReportedTokens.get() >= 0) {
                return mReportedTokens.get();
            }
            return sendState.tryForbidSending() ? 0 : estimatedTokens;
        }
    }
}
