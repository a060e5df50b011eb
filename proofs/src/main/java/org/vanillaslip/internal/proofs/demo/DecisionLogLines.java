package org.vanillaslip.internal.proofs.demo;

import java.util.regex.Pattern;

/** Finds the routing and placement decisions among log lines in the plain format. */
final class DecisionLogLines {

    /** Events 300 to 399 are placement events; event 501 is the selection of a backend server. */
    private static final Pattern DECISION_EVENT = Pattern.compile("\\bevent=(3\\d\\d|501)\\b");

    /** In the plain format, the time, level and logger precede the message. */
    private static final Pattern LOG_PREFIX = Pattern.compile("^\\S+\\s+\\S+\\s+\\S+\\s+");

    private DecisionLogLines() {}

    static String withoutTimeAndLogger(String line) {
        return LOG_PREFIX.matcher(line).replaceFirst("");
    }

    static boolean isDecision(String line) {
        return DECISION_EVENT.matcher(line).find();
    }
}
