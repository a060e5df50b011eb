package org.vanillaslip.internal.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * Section {@code [admission]}.
 *
 * @param maxConfigurationAge age of the configuration from which keyed requests are refused; empty
 *     means never
 */
public record AdmissionSettings(
        int maxBodyBytes,
        int maxWaitingRequests,
        int maxWaitingRequestsPerWorkspace,
        long maxWaitingBytes,
        Optional<Duration> maxConfigurationAge) {}
