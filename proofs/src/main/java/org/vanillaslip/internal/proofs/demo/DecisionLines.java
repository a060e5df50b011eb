package org.vanillaslip.internal.proofs.demo;

import java.util.regex.Pattern;

/** Recognizes log lines of routing and placement decisions in the plain format. */
final class DecisionLines {

    /** Numbers 300 to 399 are placement events; 501 is the choice of a backend server. */
    private static final Pattern DECISION = Pattern.compile("\\bevent=(3\\d\\d|501)\\b");

    private DecisionLines() {}

    static boolean isDecision(String line) {
        return DECISION.matcher(line).find();
    }
}
