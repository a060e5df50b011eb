package org.vanillaslip.internal.proofs.loads;

/** Calls of a run by what became of them, and the loads that were made. */
public record LoadResult(
        int urgentOnTime,
        int urgentCalls,
        int patientOnTime,
        int patientCalls,
        int abandonedCalls,
        int diskLoads,
        int storeLoads) {

    /** Returns the part of all calls that was on time, each kind counting the same. */
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

    private static double fraction(int some, int all) {
        return all == 0 ? 1 : (double) some / all;
    }
}
