package org.vanillaslip;

import java.time.Duration;

/** Expected load time of a checkpoint by the place that holds it. */
public record LoadTimes(Duration fromMemory, Duration fromDisk, Duration fromRemote) {}
