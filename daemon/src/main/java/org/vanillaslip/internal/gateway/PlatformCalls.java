package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/** Bounds calls to the platform in time. */
final class PlatformCalls {

    /** Pause before the platform is asked again after a lost answer. */
    static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private PlatformCalls() {}

    /** A call that does not end in time, or ends with an error, may have taken effect. */
    static <T> Mono<Either<PlatformFailure, T>> withTimeout(
            Mono<Either<PlatformFailure, T>> call, Duration timeout, DecisionLoop loop) {
        Either<PlatformFailure, T> unknown = Either.left(PlatformFailure.OUTCOME_UNKNOWN);
        return call.timeout(timeout, Mono.just(unknown), loop.scheduler())
                .onErrorReturn(unknown)
                .defaultIfEmpty(unknown);
    }
}
