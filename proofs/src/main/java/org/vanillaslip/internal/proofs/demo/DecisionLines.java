package org.vanillaslip.internal.proofs.demo;

import java.util.regex.Pattern;

/** Recognizes log lines of routing and placement decisions in the plain format. */
final class DecisionLines {

    /** Numbers 300 to 399 are placement events; 501 is the choice of a backend server. */
    private static final Pattern DECISION = Pattern.compile("\\bevent=(3\\d\\d|501)\\b");

    /** Time, level and logger come before the text in the plain format. */
    private static final Pattern PREFIX = Pattern.compile("^\\S+\\s+\\S+\\s+\\S+\\s+");

    private DecisionLines() {}

    static String withoutTimeAndLogger(String line) {
        return PREFIX.matcher(line).replaceFirst("");
    }

    static boolean isDecision(String line) {
        return DECISION.matcher(line).find();
    }
}
