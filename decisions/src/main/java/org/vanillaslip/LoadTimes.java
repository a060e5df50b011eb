package org.vanillaslip;

import java.time.Duration;

/**
 * Expected time to load a checkpoint, by its source.
 *
 * @param fromMemory time to load from the memory of the backend server
 * @param fromDisk time to load from the disk of the backend server
 * @param fromRemote time to load from the weight store
 */
public record LoadTimes(Duration fromMemory, Duration fromDisk, Duration fromRemote) {}
