package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.vanillaslip.RequestClass;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;

/** Charges requests to their workspace and settles the charge exactly once. */
final class Charging {

    /** Under half of a grant's validity, so gathered tokens are used or returned before expiry. */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(1900);

    private final WorkspaceQuotas mQuota;
    private final DecisionLoop mLoop;

    Charging(WorkspaceQuotas quota, DecisionLoop loop) {
        mQuota = quota;
        mLoop = loop;
    }

    /** Runs the work after its estimate was charged; open routes have no workspace to charge. */
    <T> Flux<T> charged(CallerRequest request, long estimate, Function<Usage, Flux<T>> work) {
        if (request.caller().workspace().isEmpty()) {
            return Flux.defer(() -> work.apply(new Usage()));
        }
        return mQuota.charge(request.caller().accountedWorkspace(), estimate, wait(request))
                .flatMapMany(
                        result ->
                                result.fold(
                                        refusal -> Flux.error(new RefusedException(refusal)),
                                        charge -> settled(request, charge, work)));
    }

    /** Returns how long the charge may wait, which leaves most of the time for the request. */
    private Duration wait(CallerRequest request) {
        Duration left = request.left(mLoop.clock().nowNanos());
        Duration part = left.dividedBy(divisor(request.route().requestClass()));
        return part.compareTo(LONGEST_WAIT) < 0 ? part : LONGEST_WAIT;
    }

    private static int divisor(RequestClass requestClass) {
        return switch (requestClass) {
            case INTERACTIVE -> 8;
            case WAITING -> 4;
            case BATCH -> 2;
        };
    }

    private <T> Flux<T> settled(
            CallerRequest request, QuotaCharge charge, Function<Usage, Flux<T>> work) {
        Usage usage = new Usage();
        return work.apply(usage)
                .doFinally(
                        signal ->
                                mLoop.scheduler()
                                        .schedule(
                                                () ->
                                                        mQuota.settle(
                                                                charge,
                                                                usage.settle(
                                                                        charge.tokens(),
                                                                        request.trace()))));
    }

    /** What a request is known to have used. */
    static final class Usage {
        private final AtomicLong mUsed = new AtomicLong(-1);

        void used(long tokens) {
            mUsed.set(tokens);
        }

        /** Without a report the estimate stands if anything may have run. */
        private long settle(long estimate, RequestTrace trace) {
            if (mUsed.get() >= 0) {
                return mUsed.get();
            }
            return trace.closeAsNotRun() ? 0 : estimate;
        }
    }
}
