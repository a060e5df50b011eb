package org.vanillaslip.internal.backend.forward;

import java.time.Duration;
import org.vanillaslip.BackendServer;
import org.vanillaslip.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/** Streams completions of model engines and resumes broken streams at their offset. */
public final class ModelForwarder {

    /** Engines send a comment every 2 s, so this is five of them missed (design 5.5). */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(10);

    private final Scheduler mTimers;
    private final SilenceTimeout mSilenceTimeout;

    /** Creates a forwarder whose timers run on the given scheduler. */
    public ModelForwarder(Scheduler timers, MonotonicClock clock) {
        mTimers = timers;
        mSilenceTimeout = new SilenceTimeout(timers, clock, SILENCE_TIMEOUT);
    }

    /**
     * Streams the completion. Ends normally only after the last event of the complete answer, else
     * with {@link ForwardException}. Cancelling cancels the request at the engine.
     *
     * @param onSent runs before the first byte may be written
     */
    public Flux<CompletionEvent> streamCompletion(
            BackendServer server, ModelCall call, Runnable onSent) {
        return Flux.defer(
                () ->
                        new CompletionStream(server, call, onSent, mSilenceTimeout, mTimers)
                                .events());
    }
}
