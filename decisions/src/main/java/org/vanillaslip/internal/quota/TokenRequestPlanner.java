package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the owners from which a host requests tokens, usually as the coordinator of the limit,
 * which other hosts ask first. It estimates the level of each owner's bucket, so that it asks few
 * owners and sends no messages for an exhausted workspace.
 */
public final class TokenRequestPlanner {

    /** How long an owner that did not answer is left out. */
    private static final long UNANSWERED_BLOCK_NANOS = 500_000_000L;

    /** Owners whose estimated level is at most the capacity divided by this are not asked. */
    private static final int MIN_LEVEL_DIVISOR = 50;

    private final Map<String, OwnerEstimate> mEstimates = new HashMap<>();

    /**
     * Returns the requests that together cover the amount, from the owners with the highest level
     * first. Returns none if the estimated levels don't add up to the required amount.
     *
     * @param required smallest useful total
     */
    public List<TokenRequest> plan(
            long required, long amount, Collection<OwnerShare> owners, long nowNanos) {
        List<TokenRequest> candidates = new ArrayList<>();
        for (OwnerShare owner : owners) {
            long level = estimate(owner, nowNanos).level(owner, nowNanos);
            if (level > owner.capacity() / MIN_LEVEL_DIVISOR) {
                candidates.add(new TokenRequest(owner.host(), level));
            }
        }
        candidates.sort(Comparator.comparingLong(TokenRequest::amount).reversed());
        List<TokenRequest> requests = new ArrayList<>();
        long missing = amount;
        for (TokenRequest candidate : candidates) {
            if (missing <= 0) {
                break;
            }
            long requested = Math.min(missing, candidate.amount());
            requests.add(new TokenRequest(candidate.owner(), requested));
            missing -= requested;
        }
        return amount - missing < required ? List.of() : requests;
    }

    /** Returns the estimated total of the owners' levels. */
    public long estimatedTotal(Collection<OwnerShare> owners, long nowNanos) {
        return owners.stream()
                .mapToLong(owner -> estimate(owner, nowNanos).level(owner, nowNanos))
                .sum();
    }

    /**
     * Corrects the estimate by an owner's grant. A grant smaller than requested means that the
     * owner's bucket is empty.
     */
    public void recordGrant(OwnerShare owner, long requested, long granted, long nowNanos) {
        OwnerEstimate estimate = estimate(owner, nowNanos);
        long remaining = estimate.level(owner, nowNanos) - granted;
        estimate.set(granted < requested ? 0 : Math.max(0, remaining), nowNanos);
    }

    /** Records that an owner did not answer, so that it is left out for a while. */
    public void recordFailure(OwnerShare owner, long nowNanos) {
        estimate(owner, nowNanos).block(nowNanos + UNANSWERED_BLOCK_NANOS);
    }

    private OwnerEstimate estimate(OwnerShare owner, long nowNanos) {
        return mEstimates.computeIfAbsent(
                owner.host(), host -> new OwnerEstimate(owner.capacity(), nowNanos));
    }
}
