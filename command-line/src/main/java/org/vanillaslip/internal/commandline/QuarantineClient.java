package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Reads and changes what a host keeps from the backend servers. */
interface QuarantineClient {

    /**
     * Returns the list, or empty if the host does not answer.
     *
     * @param address {@code ip:port} of the metrics of the host
     */
    Optional<JsonNode> list(String address);

    /**
     * Releases a prompt part or call at all hosts. Returns whether it was kept from the servers, or
     * empty if the host does not answer.
     */
    Optional<Boolean> release(String address, String subject);
}
