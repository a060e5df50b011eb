package org.vanillaslip.internal.proofs.demo;

import java.util.regex.Pattern;

/** Recognizes log lines of routing and placement decisions in the plain format. */
final class DecisionLogLines {

    /** Numbers 300 to 399 are placement events; 501 is the choice of a backend server. */
    private static final Pattern DECISION_EVENT = Pattern.compile("\\bevent=(3\\d\\d|501)\\b");

    /** Time, level and logger come before the text in the plain format. */
    private static final Pattern LOG_PREFIX = Pattern.compile("^\\S+\\s+\\S+\\s+\\S+\\s+");

    private DecisionLogLines() {}

    static String withoutTimeAndLogger(String line) {
        return LOG_PREFIX.matcher(line).replaceFirst("");
    }

    static boolean isDecision(String line) {
        return DECISION_EVENT.matcher(line).find();
    }
}
