package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;

/** Applies timeouts to calls to the platform. */
final class PlatformCalls {

    /** Delay before a retry after a lost response of the platform. */
    static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private PlatformCalls() {}

    /**
     * Returns {@code OUTCOME_UNKNOWN} for a call that times out or ends with an error, because it
     * may have taken effect.
     */
    static <T> Mono<Either<PlatformFailure, T>> withTimeout(
            Mono<Either<PlatformFailure, T>> call, Duration timeout, DecisionLoop loop) {
        Either<PlatformFailure, T> unknown = Either.left(PlatformFailure.OUTCOME_UNKNOWN);
        return call.timeout(timeout, Mono.just(unknown), loop.scheduler())
                .onErrorReturn(unknown)
                .defaultIfEmpty(unknown);
    }
}
