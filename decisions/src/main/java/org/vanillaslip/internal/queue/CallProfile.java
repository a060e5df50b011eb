package org.vanillaslip.internal.queue;

/**
 * What the rank of a call depends on apart from its priority and its times.
 *
 * @param kind route of the call
 * @param workspace workspace whose share the call uses; empty for anonymous callers
 * @param work prompt tokens and largest number of output tokens; 0 if not stated
 * @param fingerprint shared by the call and its repetitions; empty if unknown
 */
public record CallProfile(String kind, String workspace, long work, String fingerprint) {

    /** Profile of a call about which nothing is known. */
    public static final CallProfile UNKNOWN = new CallProfile("", "", 0, "");
}
