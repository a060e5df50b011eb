package org.vanillaslip.internal.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;

/** Charges requests to their workspace and settles the charge exactly once. */
final class Charging {

    /** Borrowing from another host takes milliseconds; longer waits mean there is nothing left. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    private final QuotaGate mQuota;
    private final DecisionLoop mLoop;

    Charging(QuotaGate quota, DecisionLoop loop) {
        mQuota = quota;
        mLoop = loop;
    }

    /** Runs the work after its estimate was charged; open routes have no workspace to charge. */
    <T> Flux<T> charged(CallerRequest request, long estimate, Function<Usage, Flux<T>> work) {
        if (request.caller().workspace().isEmpty()) {
            return Flux.defer(() -> work.apply(new Usage()));
        }
        Duration left = request.left(mLoop.clock().nowNanos());
        Duration wait = left.compareTo(LONGEST_WAIT) < 0 ? left : LONGEST_WAIT;
        return mQuota.charge(request.caller().accountedWorkspace(), estimate, wait)
                .flatMapMany(
                        result ->
                                result.fold(
                                        refusal -> Flux.error(new RefusedException(refusal)),
                                        charge -> settled(request, charge, work)));
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
