package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Reads the status of a host from {@code /status} of its daemon. */
@FunctionalInterface
interface StatusReader {

    /**
     * Returns the status, or empty if the host does not answer.
     *
     * @param address {@code ip:port} of the gateway of the host
     */
    Optional<JsonNode> read(String address);
}
