package org.vanillaslip.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Section {@code [duties]}, for platforms that ask one host at a time to act for all.
 *
 * @param address address of the platform's API for duty calls
 * @param duties duties that are switched on and whose settings are complete
 * @param ignored what the section names and is not in force, with the reason
 * @param callsPerSecond rate of duty calls that the platform accepts from all hosts together
 * @param usageWindow length of a usage window; zero if there are no usage reports
 * @param usageTolerance allowed relative error of a reported count
 * @param usageDue time after the end of a window at which its report is due
 */
public record DutySettings(
        InetSocketAddress address,
        Set<Duty> duties,
        List<String> ignored,
        double callsPerSecond,
        Duration usageWindow,
        double usageTolerance,
        Duration usageDue) {

    /** Copies the collections so that the record is immutable. */
    public DutySettings {
        duties = Set.copyOf(duties);
        ignored = List.copyOf(ignored);
    }
}
