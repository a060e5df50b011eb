package org.vanillaslip.internal.standins.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** The faults that are switched on; safe for use by threads. */
public final class PlatformFaults {

    private boolean mOutage;
    private boolean mSilentWatches;
    private int mLostWriteAnswers;
    private int mThrottledCalls;
    private Duration mRetryAfter = Duration.ofSeconds(1);
    private Duration mLatency = Duration.ZERO;
    private Set<String> mRefusedFailureDomains = Set.of();

    /** Switches the outage: every call fails and nothing is changed. */
    public synchronized void setOutage(boolean outage) {
        mOutage = outage;
    }

    /** Switches silence: watches stay open, and those that would have sent stay silent for good. */
    public synchronized void setSilentWatches(boolean silentWatches) {
        mSilentWatches = silentWatches;
    }

    /** Loses the answers of the next writes after they took effect. */
    public synchronized void setLostWriteAnswers(int count) {
        mLostWriteAnswers = count;
    }

    /** Refuses the next calls with 429 and the given {@code Retry-After}. */
    public synchronized void setThrottledCalls(int count, Duration retryAfter) {
        mThrottledCalls = count;
        mRetryAfter = retryAfter;
    }

    /** Returns the {@code Retry-After} when this call is to be throttled, and counts it. */
    public synchronized Optional<Duration> consumeThrottledCall() {
        if (mThrottledCalls == 0) {
            return Optional.empty();
        }
        mThrottledCalls--;
        return Optional.of(mRetryAfter);
    }

    /** Delays every answer after the call took effect. */
    public synchronized void setLatency(Duration latency) {
        mLatency = latency;
    }

    /** Cuts off the given failure domains. */
    public synchronized void setRefusedFailureDomains(Set<String> failureDomains) {
        mRefusedFailureDomains = Set.copyOf(failureDomains);
    }

    /** Returns whether a caller in the failure domain reaches the platform. */
    public synchronized boolean isReachableFrom(String failureDomain) {
        return !mOutage && !mRefusedFailureDomains.contains(failureDomain);
    }

    /** Returns whether watches send nothing. */
    public synchronized boolean silentWatches() {
        return mSilentWatches;
    }

    /** Returns the delay of answers. */
    public synchronized Duration latency() {
        return mLatency;
    }

    /** Returns whether the answer of this write is to be lost, and counts it. */
    public synchronized boolean consumeLostWriteAnswer() {
        if (mLostWriteAnswers == 0) {
            return false;
        }
        mLostWriteAnswers--;
        return true;
    }
}
