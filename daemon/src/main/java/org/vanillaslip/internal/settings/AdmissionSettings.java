package org.vanillaslip.internal.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * Section {@code [admission]}.
 *
 * @param maxConfigurationAge age of the configuration from which requests with a key are refused;
 *     empty disables the check
 * @param waitingOrder order in which waiting pass-through calls get servers
 */
public record AdmissionSettings(
        int maxBodyBytes,
        int maxWaitingRequests,
        int maxWaitingRequestsPerWorkspace,
        long maxWaitingBytes,
        Optional<Duration> maxConfigurationAge,
        WaitingOrder waitingOrder) {}
