package org.vanillaslip.internal.usage;

import java.util.SortedMap;
import java.util.SortedSet;

/**
 * What is collected of a window when the collection ends.
 *
 * @param known whether a process has counted during the whole window; if not, processes that have
 *     ended may have counted more
 * @param counted hosts with counts of the window
 * @param missing hosts whose counts may be incomplete or lacking
 */
public record Settlement(
        boolean known,
        SortedMap<String, Long> callsByWorkspace,
        SortedSet<String> counted,
        SortedSet<String> missing) {}
