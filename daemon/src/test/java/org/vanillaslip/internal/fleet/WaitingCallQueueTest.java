package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.serving.ServingPlan;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against calls that wait although nothing can serve them, or are refused needlessly. */
class WaitingCallQueueTest {

    private static final CallTarget TARGET =
            new CallTarget("pool", Optional.of(new ModelName("m1", Optional.empty())));
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(2);

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final ServingCollections mCollections = new OneServer();
    private final FleetDirectory mDirectory =
            new FleetDirectory(
                    mCollections,
                    new DrainFollower(mCollections, mLoop, (event, fields) -> {}),
                    mLoop,
                    new StoreAnswerHistory(),
                    (event, fields) -> {});
    private final WaitingCallQueue mQueue =
            new WaitingCallQueue(
                    new ServerSelector(
                            mDirectory,
                            Optional::empty,
                            new FailureDomain("d"),
                            () -> 1,
                            PermitSource.NONE,
                            mLoop,
                            new Random(1)),
                    mLoop,
                    100);
    private final List<String> mOutcomes = new ArrayList<>();
    private boolean mPlannerReachable = true;

    @BeforeEach
    void listTheServer() {
        mQueue.setLeaseHolderReachable(() -> mPlannerReachable);
        mDirectory.listed(
                new ObjectList(
                        1,
                        List.of(
                                new StoredObject(
                                        "servers",
                                        "s1",
                                        1,
                                        JsonNodeFactory.instance.objectNode()))));
    }

    /** A host that is partitioned from the servers and from the planner refuses its callers. */
    @Test
    void aCallIsRefusedAtOnceWhenNeitherAServerNorAPlannerIsReachable() {
        makeTheServerUnreachable();
        mPlannerReachable = false;

        submitCall();

        assertThat(mOutcomes).containsExactly("refused");
    }

    @Test
    void aWaitingCallIsRefusedWhenThePlannerBecomesUnreachable() {
        makeTheServerUnreachable();
        submitCall();
        assertThat(mOutcomes).isEmpty();

        mPlannerReachable = false;
        mScheduler.advanceTimeBy(Duration.ofMillis(50));

        assertThat(mOutcomes).containsExactly("refused");
    }

    /** The planner may load the model on another server before the call's deadline. */
    @Test
    void aCallWaitsWhileAPlannerIsReachable() {
        makeTheServerUnreachable();

        submitCall();
        mScheduler.advanceTimeBy(Duration.ofMillis(50));

        assertThat(mOutcomes).isEmpty();
    }

    /** Guards against a check of all waiting calls for each server of a digest. */
    @Test
    void aDigestOfSeveralServersNotifiesListenersOnce() {
        AtomicInteger notifications = new AtomicInteger();
        mDirectory.onChange(notifications::incrementAndGet);
        ServerLoadReport load = new ServerLoadReport(ServerModelState.EMPTY, 0, 0);

        mDirectory.applyReports(
                List.of(
                        new ServerReport("s1", 1, load),
                        new ServerReport("s1", 1, load),
                        new ServerReport("an unknown server", 0, load)));

        assertThat(notifications).hasValue(1);
    }

    /** A single failure does not mean that the server is unreachable. */
    @Test
    void aCallWaitsForAServerThatFailedOnce() {
        server().health().recordUnreachable(mLoop.clock().nowNanos());
        mPlannerReachable = false;

        submitCall();
        assertThat(mOutcomes).isEmpty();
        mScheduler.advanceTimeBy(Duration.ofMillis(500));

        assertThat(mOutcomes).containsExactly("s1");
    }

    @Test
    void onlyOneCallRetriesAnUnreachableServer() {
        makeTheServerUnreachable();
        mPlannerReachable = false;
        mScheduler.advanceTimeBy(Duration.ofMillis(500));

        submitCall();
        submitCall();

        assertThat(mOutcomes).containsExactly("s1", "refused");
    }

    private void makeTheServerUnreachable() {
        server().health().recordUnreachable(mLoop.clock().nowNanos());
        server().health().recordUnreachable(mLoop.clock().nowNanos());
    }

    private FleetMember server() {
        return mDirectory.member("s1").orElseThrow();
    }

    private void submitCall() {
        long now = mLoop.clock().nowNanos();
        long deadline = now + CALLER_TIMEOUT.toNanos();
        mQueue.awaitSlot(
                        new ServerRequest(
                                "c", TARGET, List.of(), List.of(), Optional.empty(), Set.of()),
                        new WaitBounds(1, deadline, deadline, false))
                .subscribe(
                        slot -> mOutcomes.add(slot.server().instance()),
                        error -> mOutcomes.add("refused"));
    }

    /** Decodes every entry as a server that has loaded the model. */
    private static final class OneServer implements ServingCollections {

        @Override
        public String plans() {
            return "plans";
        }

        @Override
        public Optional<Either<String, ServingPlan>> plan(StoredObject object) {
            return Optional.empty();
        }

        @Override
        public String servers() {
            return "servers";
        }

        @Override
        public Either<String, RegisteredServer> server(StoredObject object) {
            return Either.right(
                    new RegisteredServer(
                            object.name(),
                            1,
                            "pool",
                            "10.0.0.1:1",
                            new FailureDomain("d"),
                            6,
                            false,
                            OptionalLong.empty(),
                            0,
                            new ServerModelState(
                                    1, false, Map.of("m1", Set.of()), Set.of(), Set.of())));
        }

        @Override
        public String drains() {
            return "drains";
        }

        @Override
        public FailureDomain drained(StoredObject object) {
            return new FailureDomain(object.name());
        }
    }
}
