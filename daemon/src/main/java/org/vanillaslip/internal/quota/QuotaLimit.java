package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Map;

/** One limit on this host: its account, the coordinator's view, and the charges that wait. */
final class QuotaLimit {

    /** Micro-tokens per token. */
    static final long MICRO = 1_000_000;

    /**
     * Shortest time between two requests for an exhausted limit; bounds messages under overload.
     */
    private static final long MIN_RETRY_NANOS = 50_000_000;

    private final String mName;
    private final String mHost;
    private final QuotaAccount mAccount;
    private final QuotaCoordinator mCoordinator = new QuotaCoordinator();
    private final Deque<WaitingCharge> mWaiting = new ArrayDeque<>();
    private long mTokensPerSecond;
    private long mBurstTokens;
    private Map<String, Long> mParts = Map.of();
    private boolean mAsking;
    private boolean mExhausted;
    private long mExhaustedAt;

    QuotaLimit(String name, String host, QuotaAccount account) {
        mName = name;
        mHost = host;
        mAccount = account;
    }

    String name() {
        return mName;
    }

    QuotaAccount account() {
        return mAccount;
    }

    QuotaCoordinator coordinator() {
        return mCoordinator;
    }

    Deque<WaitingCharge> waiting() {
        return mWaiting;
    }

    long burstTokens() {
        return mBurstTokens;
    }

    boolean isAsking() {
        return mAsking;
    }

    void setAsking(boolean asking) {
        mAsking = asking;
    }

    /** Takes over the plan's values and the shares. */
    void resize(
            long tokensPerSecond,
            long burstTokens,
            long ownParts,
            Map<String, Long> parts,
            long nowNanos) {
        mTokensPerSecond = tokensPerSecond;
        mBurstTokens = burstTokens;
        mParts = parts;
        OwnerShare own = share(mHost, ownParts);
        mAccount.resize(own.ratePerSecond(), own.capacity(), nowNanos);
    }

    /** Returns the owners among the given hosts, without this host. */
    Collection<OwnerShare> owners(Collection<String> hosts) {
        return hosts.stream()
                .filter(host -> !host.equals(mHost) && mParts.getOrDefault(host, 0L) > 0)
                .map(host -> share(host, mParts.getOrDefault(host, 0L)))
                .toList();
    }

    /** Notes that all reachable hosts together had less than was asked for. */
    void noteExhausted(long nowNanos) {
        mExhausted = true;
        mExhaustedAt = nowNanos;
    }

    void noteGranted() {
        mExhausted = false;
    }

    /** Returns how long to wait until the missing amount can have been refilled; 0 to ask now. */
    long retryNanos(long missing, long nowNanos) {
        if (!mExhausted) {
            return 0;
        }
        long elapsed = nowNanos - mExhaustedAt;
        return Math.max(0, Math.max(MIN_RETRY_NANOS, refillNanos(missing)) - elapsed);
    }

    /** Returns the time in which all hosts together refill the amount. */
    long refillNanos(long amount) {
        double rate = Math.max(1, mTokensPerSecond) * (double) MICRO;
        double nanos = amount / rate * 1e9;
        return (long) Math.min(nanos, (double) Duration.ofHours(1).toNanos());
    }

    private OwnerShare share(String host, long parts) {
        double fraction = (double) parts / ShareTable.WHOLE;
        return new OwnerShare(
                host,
                mTokensPerSecond * (double) MICRO * fraction,
                (long) (mBurstTokens * (double) MICRO * fraction));
    }
}
