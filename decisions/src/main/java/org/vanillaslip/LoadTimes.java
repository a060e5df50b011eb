package org.vanillaslip;

import java.time.Duration;

/**
 * Expected time to load a checkpoint, by its source.
 *
 * @param fromMemory source is the memory of the backend server
 * @param fromDisk source is the disk of the backend server
 * @param fromRemote source is the weight store
 */
public record LoadTimes(Duration fromMemory, Duration fromDisk, Duration fromRemote) {}
