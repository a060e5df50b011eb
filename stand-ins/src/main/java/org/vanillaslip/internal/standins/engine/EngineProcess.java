package org.vanillaslip.internal.standins.engine;

import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import reactor.core.publisher.Mono;

/** State of one incarnation of the stand-in engine, which a restart discards. */
final class EngineProcess {

    final EngineModels mModels;
    final LaggingRequestCounter mRequestCounter;
    final long mStartNanos;

    private EngineProcess(
            EngineModels models, LaggingRequestCounter requestCounter, long startNanos) {
        mModels = models;
        mRequestCounter = requestCounter;
        mStartNanos = startNanos;
    }

    /** Starts an incarnation; all checkpoints of the previous incarnation are on disk only. */
    static EngineProcess start(
            EngineSettings settings,
            Map<String, String> checkpointLocations,
            EngineViolations violations,
            LongSupplier nanoClock) {
        BiConsumer<Duration, Runnable> scheduler =
                (delay, task) -> Mono.delay(delay).subscribe(tick -> task.run());
        Map<String, String> onDisk =
                checkpointLocations.keySet().stream()
                        .collect(Collectors.toMap(model -> model, model -> "disk"));
        String incarnation = settings.name() + "-" + UUID.randomUUID();
        return new EngineProcess(
                new EngineModels(settings, incarnation, onDisk, scheduler, violations),
                new LaggingRequestCounter(settings.statusLag(), nanoClock),
                nanoClock.getAsLong());
    }
}
