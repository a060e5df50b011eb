package org.vanillaslip.internal.standins.engine;

import java.time.Duration;

/** Time that a load takes by the place of the checkpoint. */
public record EngineLoadTimes(
        Duration fromMemory, Duration fromDisk, Duration fromRemote, Duration adapter) {

    /** Returns the time for a checkpoint in the given place. */
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
