package org.vanillaslip.internal.standins.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Thread-safe set of the injected faults. */
public final class PlatformFaults {

    private boolean mOutage;
    private boolean mSilentWatches;
    private int mLostWriteAnswers;
    private int mThrottledCalls;
    private Duration mRetryAfter = Duration.ofSeconds(1);
    private Duration mLatency = Duration.ZERO;
    private Set<String> mRefusedFailureDomains = Set.of();

    /** Sets whether every call fails without a change. */
    public synchronized void setOutage(boolean outage) {
        mOutage = outage;
    }

    /**
     * Sets whether watches drop events; a watch that dropped one remains open but silent for good.
     */
    public synchronized void setSilentWatches(boolean silentWatches) {
        mSilentWatches = silentWatches;
    }

    /** Sets how many of the next writes take effect without a response. */
    public synchronized void setLostWriteAnswers(int count) {
        mLostWriteAnswers = count;
    }

    /** Sets how many of the next calls are refused with 429 and the given {@code Retry-After}. */
    public synchronized void setThrottledCalls(int count, Duration retryAfter) {
        mThrottledCalls = count;
        mRetryAfter = retryAfter;
    }

    /**
     * Returns the {@code Retry-After} if this call is throttled, and counts the call as throttled.
     */
    public synchronized Optional<Duration> consumeThrottledCall() {
        if (mThrottledCalls == 0) {
            return Optional.empty();
        }
        mThrottledCalls--;
        return Optional.of(mRetryAfter);
    }

    /** Sets the delay of every response; the call takes effect before the delay. */
    public synchronized void setLatency(Duration latency) {
        mLatency = latency;
    }

    /** Sets the failure domains whose calls are refused. */
    public synchronized void setRefusedFailureDomains(Set<String> failureDomains) {
        mRefusedFailureDomains = Set.copyOf(failureDomains);
    }

    /** Returns whether callers in the failure domain reach the platform. */
    public synchronized boolean isReachableFrom(String failureDomain) {
        return !mOutage && !mRefusedFailureDomains.contains(failureDomain);
    }

    /** Returns whether watches drop events. */
    public synchronized boolean silentWatches() {
        return mSilentWatches;
    }

    /** Returns the delay of responses. */
    public synchronized Duration latency() {
        return mLatency;
    }

    /** Returns whether the response of this write is dropped, and counts it as dropped. */
    public synchronized boolean consumeLostWriteAnswer() {
        if (mLostWriteAnswers == 0) {
            return false;
        }
        mLostWriteAnswers--;
        return true;
    }
}
