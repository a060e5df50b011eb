package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.WeakReference;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.fleet.OverloadSimulation.Order;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.queue.CallProfile;

/** Guards against starvation, and against refusals of the wrong call. */
class RankedQueueTest {

    private static final OverloadKind LIVE = OverloadMeasure.LIVE;
    private static final OverloadKind BATCH = OverloadMeasure.BATCH;

    /** Callers wait up to 30 s; later ones may be served after the overload of 60 s. */
    private static final Duration WITHOUT_END_OF_OVERLOAD = Duration.ofSeconds(28);

    private final List<String> mOutcomes = new ArrayList<>();

    /** Urgent calls alone exceed the capacity for a minute. */
    @Test
    void callsOfLowPriorityAreServedWhileUrgentOnesExceedTheCapacity() {
        OverloadSimulation simulation = simulation(Order.RANKED, 400, Set.of("m0"));
        overload(simulation, LIVE, "m0");
        for (int second = 0; second < 60; second += 2) {
            simulation.arrive(Duration.ofSeconds(second), BATCH, "w1", "m0", 36);
        }
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(100));

        assertServedAQuarterAsOften(simulation, BATCH, "m0", 36);
    }

    @Test
    void callsForARareModelAreServedOnceItsLoadIsDone() {
        OverloadSimulation simulation = simulation(Order.RANKED, 400, Set.of("m0"));
        overload(simulation, LIVE, "m0");
        for (int second = 0; second < 60; second += 2) {
            simulation.arrive(Duration.ofSeconds(second), BATCH, "w1", "rare", 36);
        }
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(6));
        assertThat(simulation.mCalls.stream().filter(call -> call.mModel.equals("rare")))
                .noneMatch(OverloadCall::served);

        simulation.load("s0", Set.of("m0", "rare"));
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(100));

        assertServedAQuarterAsOften(simulation, BATCH, "rare", 36);
    }

    @Test
    void largeCallsAreServedWhileSmallOnesExceedTheCapacity() {
        OverloadSimulation simulation = simulation(Order.RANKED, 400, Set.of("m0"));
        overload(simulation, LIVE, "m0");
        for (int second = 0; second < 60; second++) {
            simulation.arrive(Duration.ofSeconds(second), LIVE, "w1", "m0", 200);
        }
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(100));

        assertServedAQuarterAsOften(simulation, LIVE, "m0", 200);
    }

    /** Today the newest call is refused, however urgent it is. */
    @Test
    void aFullQueueRefusesTheLowestRankWhicheverCameLast() {
        OverloadSimulation simulation = fullServer(Order.RANKED, 2);
        submit(simulation, "batch 1", 2, false);
        submit(simulation, "live 1", 0, false);

        submit(simulation, "live 2", 0, false);
        submit(simulation, "batch 2", 2, false);

        assertThat(mOutcomes).containsExactly("batch 1 QUEUE_FULL", "batch 2 QUEUE_FULL");
    }

    /** A caller that has part of its answer cannot send the call again. */
    @Test
    void aFullQueueNeverRefusesABegunAnswer() {
        OverloadSimulation simulation = fullServer(Order.RANKED, 2);
        submit(simulation, "begun 1", 2, true);
        submit(simulation, "begun 2", 2, true);

        submit(simulation, "live", 0, false);
        submit(simulation, "begun 3", 2, true);

        assertThat(mOutcomes).containsExactly("live QUEUE_FULL");
    }

    @Test
    void withoutPrioritiesAFullQueueRefusesTheNewestAndServesByAge() {
        OverloadSimulation simulation = fullServer(Order.BY_TARGET, 2);
        submit(simulation, "1", 0, false);
        submit(simulation, "2", 0, false);

        submit(simulation, "3", 0, false);
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(2));

        assertThat(mOutcomes).containsExactly("3 QUEUE_FULL", "1 served", "2 served");
    }

    /** A rate that is measured for less than two seconds is no reason to refuse anyone. */
    @Test
    void noCallIsRefusedAsOutOfReachWithoutEvidence() {
        OverloadSimulation simulation = fullServer(Order.RANKED, 400);
        for (int call = 0; call < 300; call++) {
            submit(simulation, "live", 0, false);
        }
        simulation.mScheduler.advanceTimeBy(Duration.ofMillis(1200));

        assertThat(mOutcomes).doesNotContain("live DEADLINE_UNREACHABLE");
    }

    @Test
    void callsThatAreClearlyOutOfReachAreRefusedLongBeforeTheirDeadline() {
        OverloadSimulation simulation = simulation(Order.RANKED, 2000, Set.of("m0"));
        overload(simulation, LIVE, "m0");
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(30));

        assertThat(simulation.mRefusals.get("out of reach"))
                .isGreaterThan(simulation.mRefusals.getOrDefault("at the deadline", 0));
    }

    /** The rate of a cold server says nothing of the time after its warm-up. */
    @Test
    void noCallIsRefusedAsOutOfReachWhileAServerIsCold() {
        OverloadSimulation simulation =
                new OverloadSimulation(Order.RANKED, 2000, OverloadMeasure.KINDS);
        simulation.mServers.mRemainingColdMillis = 20_000;
        simulation.addServer("s0", Set.of("m0"));
        simulation.list();
        overload(simulation, LIVE, "m0");
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(19));
        assertThat(simulation.mRefusals).doesNotContainKey("out of reach");

        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(20));
        assertThat(simulation.mRefusals).containsKey("out of reach");
    }

    /** A call that waits for a load takes no room from the standby run of another model. */
    @Test
    void aStandbyRunNeedsNoPlaceBehindCallsForAnotherModel() {
        OverloadSimulation simulation = simulation(Order.RANKED, 400, Set.of("m0"));
        simulation.arrive(Duration.ofMillis(1), BATCH, "w1", "pending", 36);
        simulation.mScheduler.advanceTimeBy(Duration.ofMillis(50));

        assertThat(simulation.mQueue.size()).isEqualTo(1);
        assertThat(simulation.mQueue.reserveNow(request("standby"))).isPresent();
    }

    /** Guards against memory that the calls of an overload use until the next one. */
    @Test
    void aCallThatNoLongerWaitsIsNotKept() {
        OverloadSimulation simulation = fullServer(Order.RANKED, 400);
        WeakReference<?> call = submitted(simulation);
        simulation.mScheduler.advanceTimeBy(Duration.ofSeconds(4));
        System.gc();

        assertThat(mOutcomes).contains("kept served");
        assertThat(simulation.mQueue.size()).isZero();
        assertThat(call.get()).isNull();
    }

    private WeakReference<?> submitted(OverloadSimulation simulation) {
        String call = new StringBuilder("kept").toString();
        submit(simulation, call, 0, false);
        return new WeakReference<>(call);
    }

    /** Calls for 60 s at more than twice the capacity of one server. */
    private static void overload(OverloadSimulation simulation, OverloadKind kind, String model) {
        for (int call = 0; call < 60 * 25; call++) {
            simulation.arrive(Duration.ofMillis(call * 40L), kind, "w" + call % 5, model, 36);
        }
    }

    private static void assertServedAQuarterAsOften(
            OverloadSimulation simulation, OverloadKind kind, String model, int events) {
        double all =
                simulation.mCalls.stream().filter(OverloadCall::served).count()
                        / (double) simulation.mCalls.size();
        List<OverloadCall> group =
                simulation.mCalls.stream()
                        .filter(
                                call ->
                                        call.mArrivedNanos < WITHOUT_END_OF_OVERLOAD.toNanos()
                                                && call.mKind == kind
                                                && call.mModel.equals(model)
                                                && call.mEvents == events)
                        .toList();
        assertThat(group.stream().filter(OverloadCall::served).count() / (double) group.size())
                .isGreaterThan(all / 4);
    }

    private static OverloadSimulation simulation(Order order, int maxWaiting, Set<String> models) {
        OverloadSimulation simulation =
                new OverloadSimulation(order, maxWaiting, OverloadMeasure.KINDS);
        simulation.addServer("s0", models);
        simulation.list();
        return simulation;
    }

    /** Returns a host whose only server is full for 1.5 seconds. */
    private static OverloadSimulation fullServer(Order order, int maxWaiting) {
        OverloadSimulation simulation = simulation(order, maxWaiting, Set.of("m0"));
        for (int call = 0; call < 20; call++) {
            simulation.arrive(Duration.ofMillis(1), LIVE, "w", "m0", 36);
        }
        simulation.mScheduler.advanceTimeBy(Duration.ofMillis(2));
        return simulation;
    }

    private void submit(
            OverloadSimulation simulation, String call, int priority, boolean answerBegun) {
        simulation.mScheduler.advanceTimeBy(Duration.ofMillis(1));
        long now = simulation.now();
        simulation
                .mQueue
                .awaitSlot(
                        request(call),
                        new WaitBounds(
                                priority,
                                now + Duration.ofSeconds(1).toNanos(),
                                now + Duration.ofSeconds(5).toNanos(),
                                answerBegun,
                                new CallProfile("route", "w", 0, call)))
                .subscribe(
                        slot -> mOutcomes.add(call + " served"),
                        error -> mOutcomes.add(call + " " + code(error)));
    }

    private static ServerRequest request(String call) {
        return new ServerRequest(
                call,
                new CallTarget("pool", Optional.of(new ModelName("m0", Optional.empty()))),
                List.of(),
                List.of(),
                Optional.empty(),
                Set.of());
    }

    private static ResultCode code(Throwable error) {
        return ((RefusedException) error).refusal().code();
    }
}
