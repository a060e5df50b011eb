package org.vanillaslip.internal.proofs.demo;

import java.io.PrintStream;

/** Prints the result of each check and counts passed and failed checks. */
final class CheckReport {

    private static final int MAX_ANSWER_LENGTH = 160;

    private final PrintStream mOutput;
    private int mPassed;
    private int mFailed;

    CheckReport(PrintStream output) {
        mOutput = output;
    }

    /** Prints whether the answer is correct, followed by the answer, shortened if it is long. */
    void check(String description, boolean correct, String answer) {
        if (correct) {
            mPassed++;
        } else {
            mFailed++;
        }
        mOutput.println((correct ? "ok    " : "WRONG ") + description + ": " + shorten(answer));
    }

    /** Prints the totals and returns the exit code: 0 if all checks passed, otherwise 1. */
    int printSummary() {
        mOutput.println(mPassed + " answers correct, " + mFailed + " wrong");
        return mFailed == 0 ? 0 : 1;
    }

    private static String shorten(String text) {
        String line = text.strip().replaceAll("\\s*\\n\\s*", " | ");
        return line.length() <= MAX_ANSWER_LENGTH
                ? line
                : line.substring(0, MAX_ANSWER_LENGTH / 2)
                        + " ... "
                        + line.substring(line.length() - MAX_ANSWER_LENGTH / 2);
    }
}
