package org.vanillaslip;

import java.time.Duration;

/**
 * How many concurrent requests a backend server bears after a fresh start.
 *
 * @param initialConcurrency limit over all hosts right after the start
 * @param fullConcurrency limit over all hosts once warm
 * @param ramp time over which the limit grows linearly from initial to full
 */
public record SlowStart(int initialConcurrency, int fullConcurrency, Duration ramp) {}
