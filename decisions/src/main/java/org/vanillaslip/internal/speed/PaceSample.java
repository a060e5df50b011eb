package org.vanillaslip.internal.speed;

/** Logarithm of the mean event gap of a server with one model. */
record PaceSample(String server, String model, double logGap) {}
