package org.vanillaslip.internal.speed;

/** Speed of a server relative to the median server of its pool. */
public record MeasuredSpeed(MeasuredServer server, double speed) {}
