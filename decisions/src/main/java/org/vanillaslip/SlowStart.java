package org.vanillaslip;

import java.time.Duration;

/**
 * Limit of concurrent requests to a backend server while it warms up after a start.
 *
 * @param initialConcurrency limit over all hosts directly after the start
 * @param fullConcurrency limit over all hosts after the ramp
 * @param ramp time in which the limit grows linearly from the initial to the full value
 */
public record SlowStart(int initialConcurrency, int fullConcurrency, Duration ramp) {}
