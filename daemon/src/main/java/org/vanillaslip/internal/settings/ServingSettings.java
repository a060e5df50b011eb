package org.vanillaslip.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Section {@code [serving]}, for hosts that pass calls through to servers of a platform.
 *
 * @param readinessAddress address of the readiness check for the load balancer
 * @param metricsAddress address on which metrics are served
 * @param orderTurn time between the last order of one host and the first order of another
 * @param retryRatio fraction of the requests of a pool that all hosts together may retry
 * @param retryExtra retries beyond that fraction that all hosts together may send per window
 * @param retryWindow time window of the retry budget
 * @param rateSlack units by which a workspace may exceed its rate and burst per window
 */
public record ServingSettings(
        InetSocketAddress readinessAddress,
        InetSocketAddress metricsAddress,
        Duration orderTurn,
        double retryRatio,
        double retryExtra,
        Duration retryWindow,
        double rateSlack) {}
