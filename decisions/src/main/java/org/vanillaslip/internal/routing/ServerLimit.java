package org.vanillaslip.internal.routing;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Requests a second that one start of a server takes from all hosts together, as its answers say.
 * Evidence from other hosts only counts if it is newer than what is known.
 */
public final class ServerLimit {

    /** Without a newer answer for this long, the next call asks whether the limit still holds. */
    private static final long CONFIRMATION_NANOS = Duration.ofSeconds(4).toNanos();

    /** A server that takes no requests is still asked this often whether its limit has ended. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.25;

    private OptionalDouble mRequestsPerSecond = OptionalDouble.empty();
    private long mEvidenceAt;
    private boolean mHasEvidence;

    /** Returns whether the server limits its requests. */
    public boolean isLimited() {
        return mRequestsPerSecond.isPresent();
    }

    /** Returns the limit as named by the server. */
    public OptionalDouble requestsPerSecond() {
        return mRequestsPerSecond;
    }

    /** Returns the rate at which requests may be sent; 0 without a limit. */
    public double permittedPerSecond() {
        return isLimited()
                ? Math.max(MIN_REQUESTS_PER_SECOND, mRequestsPerSecond.orElseThrow())
                : 0;
    }

    /** Returns the time since the last evidence; only meaningful while limited. */
    public long ageNanos(long nowNanos) {
        return Math.max(0, nowNanos - mEvidenceAt);
    }

    /** Returns whether a call should ask the server if its limit still holds. */
    public boolean isConfirmationDue(long nowNanos) {
        return isLimited() && nowNanos - mEvidenceAt >= CONFIRMATION_NANOS;
    }

    /** Records an answer that names a limit. */
    public void recordNamed(double requestsPerSecond, long nowNanos) {
        mRequestsPerSecond = OptionalDouble.of(requestsPerSecond);
        setEvidence(nowNanos);
    }

    /**
     * Records an answer that names no limit. It ends the limit only if its request was sent after
     * the last answer with a limit had arrived: answers may overtake each other.
     *
     * @return whether the limit has ended
     */
    public boolean recordNone(long sentNanos) {
        if (mHasEvidence && sentNanos - mEvidenceAt <= 0) {
            return false;
        }
        boolean ended = isLimited();
        mRequestsPerSecond = OptionalDouble.empty();
        setEvidence(sentNanos);
        return ended;
    }

    /**
     * Applies what another host has learned.
     *
     * @return whether it is newer than what is known
     */
    public boolean applyNews(OptionalDouble requestsPerSecond, long evidenceNanos) {
        if (mHasEvidence && evidenceNanos - mEvidenceAt <= 0) {
            return false;
        }
        mRequestsPerSecond = requestsPerSecond;
        setEvidence(evidenceNanos);
        return true;
    }

    private void setEvidence(long evidenceNanos) {
        mHasEvidence = true;
        mEvidenceAt = evidenceNanos;
    }
}
