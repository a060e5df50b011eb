package org.vanillaslip.internal.fleet;

import java.time.Duration;
import org.vanillaslip.internal.routing.ServerHealth;

/** Time for which a start of a server wants no request from this host; it ends by itself. */
final class ServerPause {

    /**
     * Longest pause that is kept to. A server that wants nothing for longer is restarted or removed
     * before, and the time of the end stays within the clock's range.
     */
    static final Duration LONGEST = Duration.ofDays(1);

    private long mAskedAtNanos = Long.MIN_VALUE;
    private long mUntilNanos;

    /** Returns whether the server still wants no request. */
    boolean holds(long nowNanos) {
        return mAskedAtNanos != Long.MIN_VALUE && mUntilNanos - nowNanos > 0;
    }

    /** Returns the time until the end. */
    Duration remaining(long nowNanos) {
        return holds(nowNanos) ? Duration.ofNanos(mUntilNanos - nowNanos) : Duration.ZERO;
    }

    /**
     * Records what the server asks for. It replaces a pause that ends later only if the server has
     * answered a call with success since that was asked for.
     *
     * @return whether the end has changed
     */
    boolean record(Duration asked, ServerHealth health, long nowNanos) {
        Duration time = asked.compareTo(LONGEST) > 0 ? LONGEST : asked;
        long until = nowNanos + time.toNanos();
        boolean shorter = holds(nowNanos) && until - mUntilNanos <= 0;
        if (shorter && !health.succeededSince(mAskedAtNanos)) {
            return false;
        }
        mAskedAtNanos = nowNanos;
        mUntilNanos = until;
        return true;
    }
}
