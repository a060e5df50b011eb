package org.vanillaslip.internal.routing;

/** Number of retries that a host may send in a window. */
@FunctionalInterface
public interface RetryAllowance {

    /**
     * Returns the maximum.
     *
     * @param requests number of requests in the window that ends now
     * @param earlierRequests number of requests in the window before that
     */
    long maxRetries(long requests, long earlierRequests, long nowNanos);
}
