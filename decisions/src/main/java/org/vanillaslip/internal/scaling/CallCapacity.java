package org.vanillaslip.internal.scaling;

/** Number of servers that concurrent calls need, so that few of them wait for a request slot. */
final class CallCapacity {

    /**
     * Calls are bound to the servers that have their model loaded, so slots of other servers do not
     * help them.
     */
    private static final double MAX_UTILIZATION = 0.75;

    /**
     * Free slots in standard deviations of the number of concurrent calls; of random arrivals, few
     * in a hundred then find no free slot and miss the objective of their first event.
     */
    private static final double ROOM_DEVIATIONS = 2;

    private CallCapacity() {}

    static double servers(double calls, int slotsPerServer) {
        double slots =
                Math.max(calls / MAX_UTILIZATION, calls + ROOM_DEVIATIONS * Math.sqrt(calls));
        return slots / Math.max(1, slotsPerServer);
    }

    /** Returns the number of copies of a model that its concurrent calls need. */
    static int copies(int calls, int slotsPerServer) {
        return Math.max(1, (int) Math.ceil(calls / (slotsPerServer * MAX_UTILIZATION)));
    }
}
