package org.vanillaslip.internal.usage;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The report of one window.
 *
 * @param holder host that recorded the report
 * @param term its term of the lease
 * @param counted hosts whose counts the report contains
 * @param missing hosts whose counts may be incomplete or lacking
 * @param accepted whether the platform has accepted the report
 */
public record SettledWindow(
        long window,
        SortedMap<String, Long> callsByWorkspace,
        String holder,
        long term,
        SortedSet<String> counted,
        SortedSet<String> missing,
        boolean accepted) {

    /** Copies the collections so that the record is immutable. */
    public SettledWindow {
        callsByWorkspace = Collections.unmodifiableSortedMap(new TreeMap<>(callsByWorkspace));
        counted = Collections.unmodifiableSortedSet(new TreeSet<>(counted));
        missing = Collections.unmodifiableSortedSet(new TreeSet<>(missing));
    }

    /** Returns this report as one that the platform has accepted. */
    public SettledWindow asAccepted() {
        return new SettledWindow(window, callsByWorkspace, holder, term, counted, missing, true);
    }

    /** Returns the number of calls of all workspaces. */
    public long calls() {
        return callsByWorkspace.values().stream().mapToLong(Long::longValue).sum();
    }
}
