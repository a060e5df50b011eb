package org.vanillaslip.internal.standins.engine;

import java.time.Duration;
import java.util.Map;

/**
 * Settings of a stand-in engine.
 *
 * @param memoryBytes memory available to models and adapters
 * @param fencing whether orders with an outdated term are refused
 * @param tokenInterval time between two tokens
 * @param statusLag age of the number of running requests in the status
 * @param capacity maximum number of concurrent requests; further ones are refused with 429
 * @param modelBytes memory of a model without an entry in {@code memoryByModel}
 * @param memoryByModel memory in bytes by {@code model} or {@code model:adapter}
 */
public record EngineSettings(
        String name,
        int port,
        long memoryBytes,
        boolean fencing,
        Duration tokenInterval,
        Duration statusLag,
        int capacity,
        long modelBytes,
        long adapterBytes,
        Map<String, Long> memoryByModel,
        EngineLoadTimes loadTimes) {

    /** Copies the map to keep the record immutable. */
    public EngineSettings {
        memoryByModel = Map.copyOf(memoryByModel);
    }

    /** Returns settings for tests with a free port and short times. */
    public static EngineSettings forTests(String name) {
        return new EngineSettings(
                name,
                0,
                1000,
                true,
                Duration.ofMillis(1),
                Duration.ZERO,
                64,
                100,
                10,
                Map.of(),
                new EngineLoadTimes(
                        Duration.ofMillis(1),
                        Duration.ofMillis(2),
                        Duration.ofMillis(5),
                        Duration.ofMillis(1)));
    }

    /** Returns the memory that a model, or an adapter if not empty, requires. */
    public long requiredBytes(String model, String adapter) {
        String key = adapter.isEmpty() ? model : model + ":" + adapter;
        return memoryByModel.getOrDefault(key, adapter.isEmpty() ? modelBytes : adapterBytes);
    }
}
