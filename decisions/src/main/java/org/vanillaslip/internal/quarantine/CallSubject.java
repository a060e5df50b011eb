package org.vanillaslip.internal.quarantine;

import java.util.List;

/**
 * Names calls among the subjects that crashes are blamed on; no part of a prompt has such a name.
 */
public final class CallSubject {

    private static final String PREFIX = "call:";

    private CallSubject() {}

    /** Returns the subject of a call and its repetitions. */
    public static String of(String fingerprint) {
        return PREFIX + fingerprint;
    }

    /** Returns whether the subject is a call and not a part of a prompt. */
    public static boolean isCall(String subject) {
        return subject.startsWith(PREFIX);
    }

    /** Returns the parts of a prompt without those that a caller has named like a call. */
    public static List<String> withoutCalls(List<String> promptParts) {
        return promptParts.stream().filter(part -> !isCall(part)).toList();
    }
}
