package org.vanillaslip.internal.runtime;

import org.vanillaslip.MonotonicClock;
import reactor.core.scheduler.Scheduler;

/**
 * The single scheduler on which all decisions of a host run, so that its state machines need no
 * locks.
 *
 * @param scheduler runs one task at a time
 * @param clock monotonic time for decisions
 */
public record DecisionLoop(Scheduler scheduler, MonotonicClock clock) {}
