package org.vanillaslip.internal.platform;

import io.vavr.control.Either;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * Checks files in the configuration format of the platform on which the daemon is deployed. The
 * command line finds the implementation with {@link java.util.ServiceLoader}, because the format's
 * names are known only to the deployment's own module.
 *
 * <p>Findings never contain keys of callers.
 */
public interface DeploymentConfigurationCheck {

    /** Returns whether the text is a configuration in the platform's format. */
    boolean recognizes(String text);

    /** Returns all faults of a configuration, or the reason why the text cannot be read. */
    Either<String, List<ConfigurationFinding>> faults(String text);

    /**
     * Returns the entries that a configuration adds, removes and changes, and a fault if its
     * version is not above the one in force; or the reason why a text cannot be read.
     */
    Either<String, List<ConfigurationFinding>> differences(String inForce, String text);

    /** Reads the configuration in force from the store at {@code ip:port} by one call. */
    Mono<Either<PlatformFailure, String>> readInForce(String address);
}
