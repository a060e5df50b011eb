package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Reads {@code /status} of the daemon at {@code ip:port}. */
@FunctionalInterface
interface StatusReader {

    /** Returns the status, or nothing when the host does not answer. */
    Optional<JsonNode> read(String address);
}
