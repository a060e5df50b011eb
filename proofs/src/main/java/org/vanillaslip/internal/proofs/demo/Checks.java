package org.vanillaslip.internal.proofs.demo;

import java.io.PrintStream;

/** Prints and counts the checked answers. */
final class Checks {

    private static final int WIDTH = 160;

    private final PrintStream mOutput;
    private int mPassed;
    private int mFailed;

    Checks(PrintStream output) {
        mOutput = output;
    }

    /** Prints one answer and whether it is the expected one. */
    void check(String what, boolean correct, String answer) {
        if (correct) {
            mPassed++;
        } else {
            mFailed++;
        }
        mOutput.println((correct ? "ok    " : "WRONG ") + what + ": " + shorten(answer));
    }

    /** Prints the closing line and returns the exit code. */
    int close() {
        mOutput.println(mPassed + " answers correct, " + mFailed + " wrong");
        return mFailed == 0 ? 0 : 1;
    }

    private static String shorten(String text) {
        String line = text.strip().replaceAll("\\s*\\n\\s*", " | ");
        return line.length() <= WIDTH
                ? line
                : line.substring(0, WIDTH / 2)
                        + " ... "
                        + line.substring(line.length() - WIDTH / 2);
    }
}
