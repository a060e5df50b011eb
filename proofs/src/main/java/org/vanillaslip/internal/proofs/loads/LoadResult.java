package org.vanillaslip.internal.proofs.loads;

/** Number of calls of a run by outcome, and number of loads by source. */
public record LoadResult(
        int urgentOnTime,
        int urgentCalls,
        int patientOnTime,
        int patientCalls,
        int abandonedCalls,
        int diskLoads,
        int storeLoads) {

    /** Returns the mean of the on-time fractions of urgent and patient calls. */
    public double onTimeFraction() {
        return (fraction(urgentOnTime, urgentCalls) + fraction(patientOnTime, patientCalls)) / 2;
    }

    /** Returns the part of the patient calls that was on time. */
    public double patientOnTimeFraction() {
        return fraction(patientOnTime, patientCalls);
    }

    /** Returns the part of the urgent calls that was on time. */
    public double urgentOnTimeFraction() {
        return fraction(urgentOnTime, urgentCalls);
    }

    private static double fraction(int count, int total) {
        return total == 0 ? 1 : (double) count / total;
    }
}
