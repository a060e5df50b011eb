package org.vanillaslip.internal.quota;

/** Refill of one host's part of a rate, less what the host took; negative after a large call. */
final class OwnPart {

    private double mTokens;
    private long mLargestCall;

    double tokens() {
        return mTokens;
    }

    void add(double tokens) {
        mTokens += tokens;
    }

    void add(double tokens, double max) {
        mTokens = Math.min(max, mTokens + tokens);
    }

    void take(long tokens) {
        mTokens -= tokens;
    }

    void recordCall(long tokens) {
        mLargestCall = Math.max(mLargestCall, tokens);
    }

    /** Keeps hosts that begin together from all admitting a call at the same moment. */
    void delayNextCall() {
        mTokens -= mLargestCall;
    }
}
