package org.vanillaslip.internal.proofs.loads;

/** Calls of a run by what became of them, and the loads that were made. */
public record LoadResult(
        int urgentOnTime,
        int urgentCalls,
        int patientOnTime,
        int patientCalls,
        int left,
        int diskLoads,
        int storeLoads) {

    /** Returns the part of all calls that was on time, each kind counting the same. */
    public double onTime() {
        return (part(urgentOnTime, urgentCalls) + part(patientOnTime, patientCalls)) / 2;
    }

    /** Returns the part of the patient calls that was on time. */
    public double patientPart() {
        return part(patientOnTime, patientCalls);
    }

    /** Returns the part of the urgent calls that was on time. */
    public double urgentPart() {
        return part(urgentOnTime, urgentCalls);
    }

    private static double part(int some, int all) {
        return all == 0 ? 1 : (double) some / all;
    }
}
