package org.vanillaslip.internal.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.queue.WaitingRequest;
import reactor.core.publisher.Sinks;

/**
 * State of one try to dispatch a request to a backend server, from queueing to completion. The
 * fields change on the decision loop only.
 */
final class DispatchEntry {

    final WaitingRequest mRequest;
    final Target mTarget;
    final OptionalLong mPrefixHash;
    final Set<String> mExcludedServers;
    final Function<Configuration, Optional<Refusal>> mRevalidate;
    final Sinks.One<Replica> mReplicaSink = Sinks.one();
    @Nullable Replica mGrantedReplica;
    @Nullable Slot mSlot;
    long mGrantedAtNanos;
    boolean mClosed;
    boolean mActivating;
    long mExpectedReadyNanos;

    DispatchEntry(
            WaitingRequest request,
            Target target,
            OptionalLong prefixHash,
            Set<String> excludedServers,
            Function<Configuration, Optional<Refusal>> revalidate) {
        mRequest = request;
        mTarget = target;
        mPrefixHash = prefixHash;
        mExcludedServers = Set.copyOf(excludedServers);
        mRevalidate = revalidate;
        mExpectedReadyNanos = Long.MIN_VALUE;
    }

    boolean isWaiting() {
        return mGrantedReplica == null && !mClosed;
    }
}
