package org.vanillaslip.internal.commandline;

import java.util.function.Function;
import java.util.function.Supplier;
import org.vanillaslip.internal.platform.ObjectStore;

/**
 * What commands need from outside.
 *
 * @param storeFactory connects to the platform at {@code ip:port}
 * @param statusReader reads the status of a host
 * @param keyGenerator creates a new key that cannot be guessed
 */
record CommandContext(
        Function<String, ObjectStore> storeFactory,
        StatusReader statusReader,
        Supplier<String> keyGenerator) {}
