package org.vanillaslip.internal.standins.engine;

import java.time.Duration;

/** Load times of models by the location of the checkpoint, and of adapters. */
public record EngineLoadTimes(
        Duration fromMemory, Duration fromDisk, Duration fromRemote, Duration adapter) {

    /** Returns the load time of an adapter, or of a model by the location of its checkpoint. */
    Duration loadTime(String location, boolean isAdapter) {
        if (isAdapter) {
            return adapter;
        }
        switch (location) {
            case "memory":
                return fromMemory;
            case "disk":
                return fromDisk;
            default:
                return fromRemote;
        }
    }
}
