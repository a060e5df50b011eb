package org.vanillaslip.internal.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the owners that a coordinator pulls from. It estimates what each owner holds, so that few
 * owners are asked and an exhausted workspace causes no messages.
 */
public final class TokenRequestPlanner {

    /** An owner that did not answer is asked again after this time. */
    private static final long UNANSWERED_BLOCK_NANOS = 500_000_000L;

    /** Owners that hold less than this part of their capacity are not worth a message. */
    private static final int MIN_LEVEL_DIVISOR = 50;

    private final Map<String, OwnerEstimate> mEstimates = new HashMap<>();

    /**
     * Returns the pulls that together cover the amount, from the fullest owners first, or none when
     * the owners are not believed to hold the required part.
     *
     * @param required smallest sum that is of use
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

    /** Returns the tokens that the owners are believed to hold. */
    public long estimatedTotal(Collection<OwnerShare> owners, long nowNanos) {
        return owners.stream()
                .mapToLong(owner -> estimate(owner, nowNanos).level(owner, nowNanos))
                .sum();
    }

    /** Corrects the estimate by an owner's grant; less than asked means the owner is empty. */
    public void recordGrant(OwnerShare owner, long requested, long granted, long nowNanos) {
        OwnerEstimate estimate = estimate(owner, nowNanos);
        long remaining = estimate.level(owner, nowNanos) - granted;
        estimate.set(granted < requested ? 0 : Math.max(0, remaining), nowNanos);
    }

    /** Leaves an owner that did not answer out for a while. */
    public void recordFailure(OwnerShare owner, long nowNanos) {
        estimate(owner, nowNanos).block(nowNanos + UNANSWERED_BLOCK_NANOS);
    }

    private OwnerEstimate estimate(OwnerShare owner, long nowNanos) {
        return mEstimates.computeIfAbsent(
                owner.host(), host -> new OwnerEstimate(owner.capacity(), nowNanos));
    }
}
