package org.vanillaslip.internal.runtime;

import org.vanillaslip.MonotonicClock;
import reactor.core.scheduler.Scheduler;

/**
 * The single-threaded scheduler on which all decisions of a host run, so that its state machines
 * need no locks.
 *
 * @param scheduler scheduler that runs one task at a time
 * @param clock monotonic clock for all decisions
 */
public record DecisionLoop(Scheduler scheduler, MonotonicClock clock) {}
