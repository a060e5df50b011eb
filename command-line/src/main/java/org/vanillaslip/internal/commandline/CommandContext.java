package org.vanillaslip.internal.commandline;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.vanillaslip.internal.platform.DeploymentConfigurationCheck;
import org.vanillaslip.internal.platform.ObjectStore;

/**
 * The external dependencies of the commands.
 *
 * @param storeFactory creates a client of the platform at {@code ip:port}
 * @param statusReader reads the status of a host
 * @param quarantineClient reads and changes what a host keeps from the backend servers
 * @param keyGenerator creates a key that cannot be guessed
 * @param deploymentCheck checks the configuration of the deployment's platform; empty if the
 *     deployment's module is not on the class path
 */
record CommandContext(
        Function<String, ObjectStore> storeFactory,
        StatusReader statusReader,
        QuarantineClient quarantineClient,
        Supplier<String> keyGenerator,
        Optional<DeploymentConfigurationCheck> deploymentCheck) {}
