package org.vanillaslip.internal.standins.engine;

import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import reactor.core.publisher.Mono;

/** State of the stand-in engine that a cold restart replaces. */
final class EngineProcess {

    final EngineModels mModels;
    final LaggingRequestCounter mLoad;
    final long mStartNanos;

    private EngineProcess(EngineModels models, LaggingRequestCounter load, long startNanos) {
        mModels = models;
        mLoad = load;
        mStartNanos = startNanos;
    }

    /** Starts a process; checkpoints that were in memory are on disk only. */
    static EngineProcess start(
            EngineSettings settings,
            Map<String, String> checkpoints,
            EngineViolations violations,
            LongSupplier nanos) {
        BiConsumer<Duration, Runnable> timer =
                (delay, task) -> Mono.delay(delay).subscribe(tick -> task.run());
        Map<String, String> onDisk =
                checkpoints.keySet().stream()
                        .collect(Collectors.toMap(model -> model, model -> "disk"));
        String incarnation = settings.name() + "-" + UUID.randomUUID();
        return new EngineProcess(
                new EngineModels(settings, incarnation, onDisk, timer, violations),
                new LaggingRequestCounter(settings.statusLag(), nanos),
                nanos.getAsLong());
    }
}
