package org.vanillaslip.internal.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The state of one limit on this host: its account, its token requests and waiting charges. */
final class QuotaLimit {

    /**
     * Account units per token. Equal to the number of parts of all shares, so that each share of a
     * burst is a whole number of units and the shares add up to exactly the burst.
     */
    static final long UNITS_PER_TOKEN = ShareTable.TOTAL_PARTS;

    /** Sums of units would overflow with larger bursts. */
    static final long MAX_TOKENS = Long.MAX_VALUE / 8 / UNITS_PER_TOKEN;

    /** Older unmet demand is ignored: a host with waiting charges requests again within 250 ms. */
    private static final long MAX_UNMET_AGE_NANOS = 500_000_000;

    private final String mName;
    private final String mHost;
    private final QuotaAccount mAccount;
    private final TokenRequestPlanner mRequestPlanner = new TokenRequestPlanner();
    private final RefillEstimate mEstimate = new RefillEstimate();
    private final ChargeQueue<WaitingCharge> mChargeQueue = new ChargeQueue<>();
    private final Map<String, long[]> mUnmetDemand = new HashMap<>();
    private long mTokensPerSecond;
    private long mBurstTokens;
    private Map<String, Long> mPartsByHost = Map.of();
    private boolean mBorrowing;
    private boolean mRetryScheduled;
    private boolean mRemoved;
    private long mRemovedAtNanos;

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

    TokenRequestPlanner requestPlanner() {
        return mRequestPlanner;
    }

    RefillEstimate estimate() {
        return mEstimate;
    }

    ChargeQueue<WaitingCharge> chargeQueue() {
        return mChargeQueue;
    }

    long burstTokens() {
        return mBurstTokens;
    }

    boolean isBorrowing() {
        return mBorrowing;
    }

    void setBorrowing(boolean borrowing) {
        mBorrowing = borrowing;
    }

    boolean isRetryScheduled() {
        return mRetryScheduled;
    }

    void setRetryScheduled(boolean retryScheduled) {
        mRetryScheduled = retryScheduled;
    }

    /** Applies the rate and burst of the plan, and the shares of the hosts. */
    void resize(
            long tokensPerSecond,
            long burstTokens,
            long ownParts,
            Map<String, Long> partsByHost,
            Collection<String> liveHosts,
            long nowNanos) {
        mTokensPerSecond = tokensPerSecond;
        mBurstTokens = Math.min(burstTokens, MAX_TOKENS);
        mRemoved = false;
        resize(ownParts, partsByHost, liveHosts, nowNanos);
    }

    /** Applies the shares only: the limit was removed, but some of its tokens are still lent. */
    void resizeRemoved(
            long ownParts,
            Map<String, Long> partsByHost,
            Collection<String> liveHosts,
            long nowNanos) {
        mRemovedAtNanos = mRemoved ? mRemovedAtNanos : nowNanos;
        mRemoved = true;
        resize(ownParts, partsByHost, liveHosts, nowNanos);
    }

    /** Returns whether the limit was removed at least the given time ago. */
    boolean isRemovedFor(long nanos, long nowNanos) {
        return mRemoved && nowNanos - mRemovedAtNanos >= nanos;
    }

    private void resize(
            long ownParts,
            Map<String, Long> partsByHost,
            Collection<String> liveHosts,
            long nowNanos) {
        mPartsByHost = partsByHost;
        OwnerShare own = share(mHost, ownParts);
        mAccount.resize(own.ratePerSecond(), own.capacity(), nowNanos);
        long remoteParts =
                liveHosts.stream()
                        .filter(host -> !host.equals(mHost))
                        .mapToLong(host -> partsByHost.getOrDefault(host, 0L))
                        .sum();
        OwnerShare remote = share("", remoteParts);
        mEstimate.resize(own.ratePerSecond(), remote.ratePerSecond(), remote.capacity());
    }

    /** Returns those of the given hosts that own a share, without this host. */
    Collection<OwnerShare> owners(Collection<String> hosts) {
        return hosts.stream()
                .filter(host -> !host.equals(mHost) && mPartsByHost.getOrDefault(host, 0L) > 0)
                .sorted()
                .map(host -> share(host, mPartsByHost.getOrDefault(host, 0L)))
                .toList();
    }

    /** Returns by how much the debt and the given amount exceed the available units. */
    long shortfall(long amount, long nowNanos) {
        return amount + mAccount.debt() - mAccount.available(nowNanos);
    }

    /** Returns the expected time until charges of the given total amount are served. */
    long expectedWaitNanos(long amount, long nowNanos) {
        return mEstimate.expectedWaitNanos(shortfall(amount, nowNanos), nowNanos);
    }

    /** Records the amount that a borrower still needs after a grant; 0 removes its entry. */
    void recordUnmetDemand(String borrower, long amount, long nowNanos) {
        mUnmetDemand.values().removeIf(unmet -> nowNanos - unmet[1] > MAX_UNMET_AGE_NANOS);
        if (amount > 0) {
            mUnmetDemand.put(borrower, new long[] {amount, nowNanos});
        } else {
            mUnmetDemand.remove(borrower);
        }
    }

    /** Returns the time to refill the whole burst; a longer retry delay has no benefit. */
    long burstRefillNanos() {
        double seconds = (double) mBurstTokens / Math.max(1, mTokensPerSecond);
        return (long) (Math.max(1, Math.min(seconds, 3600)) * 1e9);
    }

    /**
     * Returns the time before refill becomes available to the given host: the delay after a start,
     * plus the refill time for the waiting charges of all other hosts.
     */
    long backlogNanos(String borrower, long nowNanos) {
        double backlog =
                borrower.equals(mHost)
                        ? 0
                        : Math.max(0, shortfall(mChargeQueue.totalAmount(), nowNanos));
        for (Map.Entry<String, long[]> unmet : mUnmetDemand.entrySet()) {
            boolean recent = nowNanos - unmet.getValue()[1] <= MAX_UNMET_AGE_NANOS;
            backlog += recent && !unmet.getKey().equals(borrower) ? unmet.getValue()[0] : 0;
        }
        return mAccount.nanosUntilRefill(nowNanos) + mEstimate.refillNanos((long) backlog);
    }

    private OwnerShare share(String host, long partsByHost) {
        return new OwnerShare(
                host, mTokensPerSecond * (double) partsByHost, mBurstTokens * partsByHost);
    }
}
