package org.vanillaslip.internal.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.vanillaslip.RequestClass;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.admission.Caller;

/** Guards against starvation of workspaces, unbounded queues and late refusals. */
@DisplayName("served-or-refused-in-time")
class FairQueueTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final FairQueue mQueue = new FairQueue(new QueueLimits(200, 2_000, 100, 1_500));
    private int mNextId;

    @Property(seed = "20")
    void backloggedWorkspacesGetEqualTokens(
            @ForAll @Size(40) List<@IntRange(min = 1, max = 50) Integer> costs) {
        FairQueue queue = new FairQueue(new QueueLimits(200, 2_000, 100, 1_000));
        for (int cost : costs) {
            queue.offer(request("a", cost, 10), Duration.ZERO, 0);
            queue.offer(request("b", 10, 10), Duration.ZERO, 0);
        }
        Map<String, Long> served = new HashMap<>();
        for (int turn = 0; turn < 20; turn++) {
            WaitingRequest next = queue.peek("model").orElseThrow();
            queue.serve(next);
            served.merge(next.caller().accountedWorkspace().name(), next.tokens(), Long::sum);
        }
        // Start-time fair queueing bounds the difference by the largest request of each workspace.
        assertThat(Math.abs(served.getOrDefault("a", 0L) - served.getOrDefault("b", 0L)))
                .isLessThanOrEqualTo(60);
    }

    @Test
    void servesAWorkspaceInOrderOfClassAndDeadline() {
        WaitingRequest batch = add("a", RequestClass.BATCH, 1);
        WaitingRequest late = add("a", RequestClass.INTERACTIVE, 9);
        WaitingRequest soon = add("a", RequestClass.INTERACTIVE, 2);
        for (WaitingRequest expected : new WaitingRequest[] {soon, late, batch}) {
            assertThat(mQueue.peek("model")).contains(expected);
            mQueue.serve(expected);
        }
        assertThat(mQueue.peek("model")).isEmpty();
    }

    @Test
    void refusesARequestThatCannotMeetItsDeadline() {
        var result = mQueue.offer(request("a", 1, 5), Duration.ofSeconds(5), 0);
        assertThat(result.getLeft().code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(result.getLeft().retryAfter()).contains(Duration.ofSeconds(5));
        assertThat(mQueue.size()).isZero();
    }

    @Test
    void oneWorkspaceCannotFillTheQueue() {
        for (int count = 0; count < 100; count++) {
            add("a", RequestClass.BATCH, 9);
        }
        var result = mQueue.offer(request("a", 1, 9), Duration.ZERO, 0);
        assertThat(result.getLeft().code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(mQueue.offer(request("b", 1, 9), Duration.ZERO, 0).isRight()).isTrue();
        assertThat(mQueue.requestsAhead("model", new Workspace("c"))).isEqualTo(2);
    }

    @Test
    void expiredAndRemovedRequestsNoLongerCountAgainstTheLimits() {
        WaitingRequest removed = add("a", RequestClass.BATCH, 9);
        WaitingRequest expired = add("a", RequestClass.BATCH, 1);
        assertThat(mQueue.earliestDeadline()).hasValue(SECOND);
        assertThat(mQueue.expire(SECOND)).containsExactly(expired);
        assertThat(mQueue.remove(removed.id())).isTrue();
        assertThat(mQueue.remove(removed.id())).isFalse();
        for (int count = 0; count < 100; count++) {
            add("a", RequestClass.BATCH, 9);
        }
        assertThat(mQueue.size()).isEqualTo(100);
    }

    private WaitingRequest add(String workspace, RequestClass requestClass, long deadlineSeconds) {
        WaitingRequest template = request(workspace, 1, deadlineSeconds);
        WaitingRequest request =
                new WaitingRequest(
                        template.id(),
                        template.target(),
                        template.caller(),
                        requestClass,
                        template.tokens(),
                        template.bytes(),
                        template.deadlineNanos());
        return mQueue.offer(request, Duration.ZERO, 0).get();
    }

    private WaitingRequest request(String workspace, long tokens, long deadlineSeconds) {
        return new WaitingRequest(
                "id-" + mNextId++,
                "model",
                new Caller(Optional.of(new Workspace(workspace)), Optional.empty()),
                RequestClass.WAITING,
                tokens,
                10,
                deadlineSeconds * SECOND);
    }
}
