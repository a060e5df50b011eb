package org.vanillaslip.internal.backend.forward;

import java.time.Duration;
import org.vanillaslip.BackendServer;
import org.vanillaslip.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/** Streams completions of model engines and resumes broken streams at the next token offset. */
public final class ModelForwarder {

    /** Engines send a comment every 2 s, so five in a row are missing (design 5.5). */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(10);

    private final Scheduler mTimers;
    private final SilenceTimeout mSilenceTimeout;

    /** Creates a forwarder whose timers run on the given scheduler. */
    public ModelForwarder(Scheduler timers, MonotonicClock clock) {
        mTimers = timers;
        mSilenceTimeout = new SilenceTimeout(timers, clock, SILENCE_TIMEOUT);
    }

    /**
     * Streams the completion. Completes normally only after the last event of a complete response,
     * otherwise signals {@link ForwardException}. Cancelling also cancels the request at the
     * engine.
     *
     * @param onSent called before the first byte can be written
     */
    public Flux<CompletionEvent> streamCompletion(
            BackendServer server, ModelCall call, Runnable onSent) {
        return Flux.defer(
                () ->
                        new CompletionStream(server, call, onSent, mSilenceTimeout, mTimers)
                                .events());
    }
}
