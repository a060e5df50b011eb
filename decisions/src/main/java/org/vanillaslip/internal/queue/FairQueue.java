package org.vanillaslip.internal.queue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Workspace;

/** All waiting requests of a host, in one fair queue per target and with common limits. */
public final class FairQueue {

    /** Callers that come back sooner would find the queue still full. */
    private static final Duration MIN_RETRY_AFTER_WHEN_FULL = Duration.ofSeconds(1);

    private final QueueLimits mLimits;
    private final Map<String, TargetQueue> mTargets = new HashMap<>();
    private final Map<String, WaitingRequest> mRequests = new LinkedHashMap<>();
    private final Map<Workspace, Usage> mUsage = new HashMap<>();
    private long mBytes;

    /** Creates an empty queue. */
    public FairQueue(QueueLimits limits) {
        mLimits = limits;
    }

    /** Adds a request, or refuses it if a limit is reached or its deadline can't be met. */
    public Either<Refusal, WaitingRequest> offer(
            WaitingRequest request, Duration estimatedWait, long nowNanos) {
        Optional<Refusal> refusal = checkDeadline(request, estimatedWait, nowNanos);
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        Usage usage = mUsage.getOrDefault(workspace(request), Usage.NONE);
        if (mRequests.size() >= mLimits.requests()
                || mBytes + request.bytes() > mLimits.bytes()
                || usage.requests() >= mLimits.requestsPerWorkspace()
                || usage.bytes() + request.bytes() > mLimits.bytesPerWorkspace()) {
            Duration retryAfter = max(estimatedWait, MIN_RETRY_AFTER_WHEN_FULL);
            return Either.left(
                    Refusal.retryable(ResultCode.QUEUE_FULL, request.target(), retryAfter));
        }
        mRequests.put(request.id(), request);
        mBytes += request.bytes();
        mUsage.put(workspace(request), usage.plus(1, request.bytes()));
        mTargets.computeIfAbsent(request.target(), name -> new TargetQueue()).add(request);
        return Either.right(request);
    }

    /** Returns a refusal if the estimated wait ends after the deadline of the request. */
    public static Optional<Refusal> checkDeadline(
            WaitingRequest request, Duration estimatedWait, long nowNanos) {
        long remainingNanos = request.deadlineNanos() - nowNanos;
        if (remainingNanos > 0 && estimatedWait.toNanos() < remainingNanos) {
            return Optional.empty();
        }
        return Optional.of(
                Refusal.retryable(
                        ResultCode.DEADLINE_UNREACHABLE,
                        request.target(),
                        max(estimatedWait, Duration.ofMillis(100))));
    }

    /** Returns the next request for the target without removing it. */
    public Optional<WaitingRequest> peek(String target) {
        return Optional.ofNullable(mTargets.get(target)).flatMap(TargetQueue::peek);
    }

    /** Removes a request that starts to run, and charges its workspace. */
    public void serve(WaitingRequest request) {
        TargetQueue queue = mTargets.get(request.target());
        if (queue != null && removeFromTotals(request)) {
            queue.serve(request);
            removeIfEmpty(request.target(), queue);
        }
    }

    /** Removes a request that won't run, for example because its caller disconnected. */
    public boolean remove(String id) {
        WaitingRequest request = mRequests.get(id);
        if (request == null || !removeFromTotals(request)) {
            return false;
        }
        TargetQueue queue = mTargets.get(request.target());
        if (queue != null) {
            queue.remove(request);
            removeIfEmpty(request.target(), queue);
        }
        return true;
    }

    /** Removes and returns all requests that match. */
    public List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition) {
        List<WaitingRequest> removed = mRequests.values().stream().filter(condition).toList();
        removed.forEach(request -> remove(request.id()));
        return removed;
    }

    /** Removes and returns all requests whose deadline has passed. */
    public List<WaitingRequest> expire(long nowNanos) {
        return removeIf(request -> request.deadlineNanos() - nowNanos <= 0);
    }

    /** Returns the earliest deadline of a waiting request. */
    public OptionalLong earliestDeadline() {
        return mRequests.values().stream()
                .min(Comparator.comparingLong(WaitingRequest::deadlineNanos))
                .map(request -> OptionalLong.of(request.deadlineNanos()))
                .orElseGet(OptionalLong::empty);
    }

    /** Replaces the estimated charge of a served request by the tokens that it used. */
    public void correctCharge(WaitingRequest served, long usedTokens) {
        TargetQueue queue = mTargets.get(served.target());
        if (queue != null) {
            queue.correctCharge(workspace(served), usedTokens - served.tokens());
        }
    }

    /** Returns the number of waiting requests served before a new one of the workspace. */
    public int requestsAhead(String target, Workspace workspace) {
        TargetQueue queue = mTargets.get(target);
        return queue == null ? 0 : queue.requestsAhead(workspace);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mRequests.size();
    }

    /** Returns the targets for which requests wait. */
    public List<String> waitingTargets() {
        return mRequests.values().stream().map(WaitingRequest::target).distinct().toList();
    }

    private void removeIfEmpty(String target, TargetQueue queue) {
        if (queue.isEmpty()) {
            mTargets.remove(target);
        }
    }

    private boolean removeFromTotals(WaitingRequest request) {
        if (mRequests.remove(request.id()) == null) {
            return false;
        }
        mBytes -= request.bytes();
        mUsage.computeIfPresent(
                workspace(request),
                (workspace, usage) -> {
                    Usage remaining = usage.plus(-1, -request.bytes());
                    return remaining.requests() == 0 ? null : remaining;
                });
        return true;
    }

    private static Workspace workspace(WaitingRequest request) {
        return request.caller().accountedWorkspace();
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private record Usage(int requests, long bytes) {
        static final Usage NONE = new Usage(0, 0);

        Usage plus(int moreRequests, long moreBytes) {
            return new Usage(requests + moreRequests, bytes + moreBytes);
        }
    }
}
