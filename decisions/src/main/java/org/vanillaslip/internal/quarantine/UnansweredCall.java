package org.vanillaslip.internal.quarantine;

import java.util.List;

/**
 * A call whose server ended the connection before it began to answer.
 *
 * @param server identifies one start of a server process
 * @param promptParts ids of the parts that the prompt shares with others, in order
 */
public record UnansweredCall(String server, String callId, List<String> promptParts) {

    /** Copies the list so that the record is immutable. */
    public UnansweredCall {
        promptParts = List.copyOf(promptParts);
    }
}
