package org.vanillaslip.internal.commandline;

/** Exit codes of the tool, documented in {@code docs/RESULT-CODES.md}. */
enum ExitCode {
    OK(0),
    /** A check of the platform's configuration found a fault. */
    FAULTS(1),
    INVALID(2),
    CONFLICT(3),
    UNAVAILABLE(4),
    OUTCOME_UNKNOWN(5);

    private final int mNumber;

    ExitCode(int number) {
        mNumber = number;
    }

    int number() {
        return mNumber;
    }
}
