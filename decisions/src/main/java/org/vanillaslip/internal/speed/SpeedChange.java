package org.vanillaslip.internal.speed;

/** A change of the class of a server by its speed, which operators should learn of. */
public record SpeedChange(MeasuredServer server, SpeedBand from, SpeedBand to, double speed) {}
