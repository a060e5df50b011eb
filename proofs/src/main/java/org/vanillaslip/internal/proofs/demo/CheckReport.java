package org.vanillaslip.internal.proofs.demo;

import java.io.PrintStream;

/** Prints and counts the checked answers. */
final class CheckReport {

    private static final int MAX_ANSWER_LENGTH = 160;

    private final PrintStream mOutput;
    private int mPassed;
    private int mFailed;

    CheckReport(PrintStream output) {
        mOutput = output;
    }

    /** Prints one answer and whether it is the expected one. */
    void check(String description, boolean correct, String answer) {
        if (correct) {
            mPassed++;
        } else {
            mFailed++;
        }
        mOutput.println((correct ? "ok    " : "WRONG ") + description + ": " + shorten(answer));
    }

    /** Prints the closing line and returns the exit code. */
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
