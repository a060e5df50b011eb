package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/** Borrowed tokens of one limit. Grants that expire first are used first. */
final class BorrowedTokens {

    private final TreeSet<BorrowedGrant> mGrants =
            new TreeSet<>(
                    Comparator.comparingLong(BorrowedGrant::expiresAt)
                            .thenComparingLong(BorrowedGrant::id));

    /**
     * Adds a grant. Its validity counts from when the request was sent, however late the reply is.
     */
    void accept(String granter, Grant grant, long requestSentAt, long nowNanos) {
        BorrowedGrant borrowed =
                new BorrowedGrant(granter, grant, requestSentAt + grant.validityNanos());
        if (borrowed.expiresAt() > nowNanos && grant.amount() > 0) {
            mGrants.add(borrowed);
        }
    }

    long available(long nowNanos) {
        expire(nowNanos);
        return mGrants.stream().mapToLong(BorrowedGrant::free).sum();
    }

    /**
     * Takes up to the given amount; the tokens remain part of their grants.
     *
     * @param minExpiresAt grants that expire earlier are skipped
     */
    List<Withdrawal> take(long amount, long minExpiresAt, long nowNanos) {
        expire(nowNanos);
        List<Withdrawal> withdrawals = new ArrayList<>();
        long missing = amount;
        for (BorrowedGrant borrowed : mGrants) {
            long taken = borrowed.expiresAt() >= minExpiresAt ? borrowed.takeFree(missing) : 0;
            if (taken > 0) {
                missing -= taken;
                withdrawals.add(new Withdrawal(borrowed.id(), taken, 0));
            }
        }
        return withdrawals;
    }

    /** Returns when the grant expires on this host, or the current time if it has expired. */
    long expiryOf(long grantId, long nowNanos) {
        return find(grantId, nowNanos).map(BorrowedGrant::expiresAt).orElse(nowNanos);
    }

    void markSpent(long grantId, long amount, long nowNanos) {
        find(grantId, nowNanos).ifPresent(borrowed -> borrowed.markSpent(amount));
    }

    void putBack(long grantId, long amount, long nowNanos) {
        find(grantId, nowNanos).ifPresent(borrowed -> borrowed.putBack(amount));
    }

    long refund(long grantId, long amount, long nowNanos) {
        return find(grantId, nowNanos).map(borrowed -> borrowed.refund(amount)).orElse(0L);
    }

    /** Returns free tokens above the given amount to their granters, earliest expiry first. */
    void returnExcess(long kept, long nowNanos) {
        long excess = Math.max(0, available(nowNanos) - kept);
        for (BorrowedGrant borrowed : mGrants) {
            excess -= borrowed.returnFree(excess);
        }
    }

    /** Returns the granters of grants with usage that has not been reported. */
    List<String> granters(long nowNanos) {
        expire(nowNanos);
        return mGrants.stream()
                .filter(BorrowedGrant::hasUnreportedUsage)
                .map(BorrowedGrant::granter)
                .distinct()
                .toList();
    }

    List<GrantUsage> reports(String granter, long nowNanos) {
        expire(nowNanos);
        return mGrants.stream()
                .filter(
                        borrowed ->
                                borrowed.granter().equals(granter) && borrowed.hasUnreportedUsage())
                .map(BorrowedGrant::report)
                .toList();
    }

    private Optional<BorrowedGrant> find(long grantId, long nowNanos) {
        expire(nowNanos);
        return mGrants.stream().filter(borrowed -> borrowed.id() == grantId).findFirst();
    }

    private void expire(long nowNanos) {
        while (!mGrants.isEmpty() && mGrants.first().expiresAt() <= nowNanos) {
            mGrants.pollFirst();
        }
    }
}
