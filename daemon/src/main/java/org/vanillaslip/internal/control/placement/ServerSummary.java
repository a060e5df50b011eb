package org.vanillaslip.internal.control.placement;

/** The last report of a server as sent to other hosts, with its age instead of a timestamp. */
record ServerSummary(
        String server,
        String incarnation,
        long uptimeMillis,
        int running,
        int waiting,
        long ageMillis) {}
