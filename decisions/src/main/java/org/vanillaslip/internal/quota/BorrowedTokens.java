package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/** Borrowed tokens of one limit; those that expire first are used first. */
final class BorrowedTokens {

    private final TreeSet<BorrowedGrant> mParts =
            new TreeSet<>(
                    Comparator.comparingLong(BorrowedGrant::expiresAt)
                            .thenComparingLong(BorrowedGrant::id));

    /** Adds a grant; it counts from when its request was sent, however late the reply is. */
    void accept(String granter, Grant grant, long requestSentAt, long nowNanos) {
        BorrowedGrant part =
                new BorrowedGrant(granter, grant, requestSentAt + grant.validityNanos());
        if (part.expiresAt() > nowNanos && grant.amount() > 0) {
            mParts.add(part);
        }
    }

    long available(long nowNanos) {
        expire(nowNanos);
        return mParts.stream().mapToLong(BorrowedGrant::free).sum();
    }

    /**
     * Takes up to the given amount; the tokens stay part of their grant.
     *
     * @param validUntil parts that expire before are left out
     */
    List<Withdrawal> take(long amount, long validUntil, long nowNanos) {
        expire(nowNanos);
        List<Withdrawal> slices = new ArrayList<>();
        long missing = amount;
        for (BorrowedGrant part : mParts) {
            long taken = part.expiresAt() >= validUntil ? part.take(missing) : 0;
            if (taken > 0) {
                missing -= taken;
                slices.add(new Withdrawal(part.id(), taken, 0));
            }
        }
        return slices;
    }

    /** Returns when the given part expires here, or the given time when it has expired. */
    long expiryOf(long partId, long nowNanos) {
        return find(partId, nowNanos).map(BorrowedGrant::expiresAt).orElse(nowNanos);
    }

    void markSpent(long partId, long amount, long nowNanos) {
        find(partId, nowNanos).ifPresent(part -> part.markSpent(amount));
    }

    void putBack(long partId, long amount, long nowNanos) {
        find(partId, nowNanos).ifPresent(part -> part.putBack(amount));
    }

    long refund(long partId, long amount, long nowNanos) {
        return find(partId, nowNanos).map(part -> part.refund(amount)).orElse(0L);
    }

    /** Gives free tokens above the given amount back, those that expire first. */
    void returnAbove(long kept, long nowNanos) {
        long excess = Math.max(0, available(nowNanos) - kept);
        for (BorrowedGrant part : mParts) {
            excess -= part.giveBack(excess);
        }
    }

    /** Returns the granters that have not been told of the use of their grants. */
    List<String> granters(long nowNanos) {
        expire(nowNanos);
        return mParts.stream()
                .filter(BorrowedGrant::hasNews)
                .map(BorrowedGrant::granter)
                .distinct()
                .toList();
    }

    List<GrantUsage> reports(String granter, long nowNanos) {
        expire(nowNanos);
        return mParts.stream()
                .filter(part -> part.granter().equals(granter) && part.hasNews())
                .map(BorrowedGrant::report)
                .toList();
    }

    private Optional<BorrowedGrant> find(long partId, long nowNanos) {
        expire(nowNanos);
        return mParts.stream().filter(part -> part.id() == partId).findFirst();
    }

    private void expire(long nowNanos) {
        while (!mParts.isEmpty() && mParts.first().expiresAt() <= nowNanos) {
            mParts.pollFirst();
        }
    }
}
