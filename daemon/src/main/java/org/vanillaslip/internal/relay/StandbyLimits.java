package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the standby runs for the calls of a silent server to one at a time. After one has
 * delivered before the silent server did, the other calls may have one each. Used on the decision
 * loop only.
 */
final class StandbyLimits {

    /** After a standby run without result, the calls of the same server wait. */
    private static final long PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Free slots are looked for again after this time. */
    private static final long NO_SLOT_PAUSE_NANOS = Duration.ofMillis(200).toNanos();

    /** A silence outlasts the standby run that proved it, if nothing else is heard. */
    private static final long PROOF_NANOS = Duration.ofSeconds(10).toNanos();

    private final Map<String, SilentServer> mServers = new HashMap<>();

    /**
     * Begins a standby run if the limit allows it; each one ends with a result.
     *
     * @param server name and start of the silent server
     */
    boolean tryBegin(String server, long nowNanos) {
        mServers.values().removeIf(state -> state.isOutdated(nowNanos));
        SilentServer state = mServers.computeIfAbsent(server, name -> new SilentServer(nowNanos));
        boolean proven = nowNanos - state.mProvenUntilNanos < 0;
        boolean allowed =
                nowNanos - state.mPausedUntilNanos >= 0 && (proven || state.mRunning == 0);
        if (allowed) {
            state.mRunning++;
        }
        return allowed;
    }

    /** Records that a standby run delivered before the silent server did. */
    void recordDelivered(String server, long nowNanos) {
        SilentServer state = end(server, nowNanos);
        state.mProvenUntilNanos = nowNanos + PROOF_NANOS;
        state.mPausedUntilNanos = nowNanos;
    }

    /** Records that a standby run ended without an effect. */
    void recordNothing(String server, long nowNanos) {
        end(server, nowNanos).mPausedUntilNanos = nowNanos + PAUSE_NANOS;
    }

    /** Records that a standby run was not started, because no server has room for it. */
    void recordNotStarted(String server, long nowNanos) {
        end(server, nowNanos).mPausedUntilNanos = nowNanos + NO_SLOT_PAUSE_NANOS;
    }

    /** Records that a server is not silent. */
    void recordHeard(String server, long nowNanos) {
        SilentServer state = mServers.get(server);
        if (state != null) {
            state.mProvenUntilNanos = nowNanos;
        }
    }

    private SilentServer end(String server, long nowNanos) {
        SilentServer state = mServers.computeIfAbsent(server, name -> new SilentServer(nowNanos));
        state.mRunning = Math.max(0, state.mRunning - 1);
        return state;
    }

    private static final class SilentServer {
        private int mRunning;
        private long mProvenUntilNanos;
        private long mPausedUntilNanos;

        SilentServer(long nowNanos) {
            mProvenUntilNanos = nowNanos;
            mPausedUntilNanos = nowNanos;
        }

        boolean isOutdated(long nowNanos) {
            return mRunning == 0
                    && nowNanos - mProvenUntilNanos >= 0
                    && nowNanos - mPausedUntilNanos >= 0;
        }
    }
}
