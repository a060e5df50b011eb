package org.vanillaslip.internal.queue;

/** Limits of the waiting requests of one host. */
public record QueueLimits(
        int requests, long bytes, int requestsPerWorkspace, long bytesPerWorkspace) {

    /** Returns limits that fit into the 128 MB that a host may use. */
    public static QueueLimits defaults() {
        return new QueueLimits(2_000, 32L << 20, 1_000, 16L << 20);
    }
}
