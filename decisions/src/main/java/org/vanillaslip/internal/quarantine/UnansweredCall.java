package org.vanillaslip.internal.quarantine;

import java.util.List;

/**
 * A call whose server ended the connection before the answer was complete.
 *
 * @param server identifies one start of a server process
 * @param failureDomain where the server runs, or nothing if that is not known
 * @param callId identifies the call and its repetitions in the same session
 * @param subjects what may have crashed the server: parts of the prompt, if the answer had not
 *     begun, and the call itself
 * @param sentAfterCrash whether the sender knew of an earlier crash under the same call
 */
public record UnansweredCall(
        String server,
        String failureDomain,
        String callId,
        List<String> subjects,
        boolean sentAfterCrash) {

    /** Copies the list so that the record is immutable. */
    public UnansweredCall {
        subjects = List.copyOf(subjects);
    }
}
