package org.vanillaslip.internal.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Guards against an order of calls that contradicts a criterion of a higher place. */
class CallRankingTest {

    private static final long SECOND = 1_000_000_000L;

    private final ServiceFloors mFloors = new ServiceFloors();
    private final CallRanking mRanking = new CallRanking(mFloors);

    @Test
    void aMoreUrgentCallGoesFirstAlthoughItCameLast() {
        RankedCall batch = call("w1", 2, 0, 10, 30, 1);
        RankedCall live = call("w1", 0, 1, 2, 5, 1);

        assertThat(order(SECOND, batch, live)).containsExactly(live, batch);
    }

    /** A begun answer cannot be sent again by its caller. */
    @Test
    void aBegunAnswerGoesBeforeMoreUrgentCalls() {
        RankedCall begun =
                new RankedCall(2, true, false, profile("w1", 1), "m", 0, 10 * SECOND, 30 * SECOND);
        RankedCall live = call("w1", 0, 0, 2, 5, 1);

        assertThat(order(SECOND, live, begun)).containsExactly(begun, live);
    }

    /** Without shares the calls of a busy workspace all go before those of the others. */
    @Test
    void workspacesTakeTurns() {
        List<RankedCall> calls = new ArrayList<>();
        for (int call = 0; call < 6; call++) {
            calls.add(call("busy", 0, call, 10, 30, 0));
        }
        calls.add(call("quiet", 0, 8, 18, 38, 0));
        calls.add(call("quiet", 0, 9, 19, 39, 0));
        Map<String, Integer> served = new HashMap<>();
        for (int count = 0; count < 4; count++) {
            RankedCall first = order(10 * SECOND, calls.toArray(RankedCall[]::new)).get(0);
            calls.remove(first);
            mRanking.recordServed(first);
            served.merge(first.profile().workspace(), 1, Integer::sum);
        }

        assertThat(served).isEqualTo(Map.of("busy", 2, "quiet", 2));
    }

    /** Guards against one call with a huge declared size that makes all later charges equal. */
    @Test
    void aHugeCallDoesNotChangeTheSharesOfLaterCalls() {
        for (int count = 0; count < 40; count++) {
            mRanking.recordServed(call("w0", 0, 0, 10, 30, 100));
        }
        mRanking.recordServed(call("w0", 0, 0, 10, 30, Long.MAX_VALUE / 2));
        List<RankedCall> calls = new ArrayList<>();
        for (int call = 0; call < 16; call++) {
            calls.add(call("small", 0, call, 10 + call, 40, 80));
            calls.add(call("large", 0, call, 10 + call, 40, 240));
        }
        Map<String, Integer> served = new HashMap<>();
        for (int count = 0; count < 16; count++) {
            RankedCall first = order(SECOND, calls.toArray(RankedCall[]::new)).get(0);
            calls.remove(first);
            mRanking.recordServed(first);
            served.merge(first.profile().workspace(), 1, Integer::sum);
        }

        assertThat(served.get("small")).isGreaterThanOrEqualTo(2 * served.get("large"));
    }

    /** A workspace that was idle must not use the share of that time at once. */
    @Test
    void anIdleWorkspaceSavesNoShare() {
        RankedCall busy = call("busy", 0, 0, 10, 30, 0);
        for (int count = 0; count < 50; count++) {
            order(SECOND, busy);
            mRanking.recordServed(busy);
        }
        RankedCall[] calls = new RankedCall[12];
        for (int call = 0; call < 10; call++) {
            calls[call] = call("idle", 0, 0, 10, 30, 0);
        }
        calls[10] = busy;
        calls[11] = call("busy", 0, 1, 11, 31, 0);

        assertThat(order(SECOND, calls).subList(0, 5)).contains(calls[10], calls[11]);
    }

    /** Earliest deadline first makes all calls late under overload. */
    @Test
    void aCallThatMissedItsObjectiveDoesNotMakeAnotherLate() {
        RankedCall late = call("w1", 0, 0, 1, 5, 0);
        RankedCall inTime = call("w1", 0, 3, 4, 8, 0);

        assertThat(order(3 * SECOND, late, inTime)).containsExactly(inTime, late);
    }

    @Test
    void aCallRisesALevelBeforeItMissesItsObjective() {
        RankedCall patient = call("w1", 1, 0, 10, 30, 0);
        RankedCall live = call("w1", 0, 0, 20, 30, 0);

        assertThat(order(4 * SECOND, patient, live)).containsExactly(live, patient);
        assertThat(order(6 * SECOND, patient, live)).containsExactly(patient, live);
        assertThat(order(9 * SECOND, patient, live)).containsExactly(live, patient);
    }

    @Test
    void aReturnedCallGoesBeforeNewOnesOfItsWorkspace() {
        RankedCall fresh = call("w1", 0, 0, 2, 5, 0);
        RankedCall returned =
                new RankedCall(
                        0, false, true, profile("w1", 0), "m", SECOND, 3 * SECOND, 6 * SECOND);

        assertThat(order(SECOND, fresh, returned)).containsExactly(returned, fresh);
    }

    @Test
    void ofTwoCallsWithTheSameTimesTheSmallerGoesFirst() {
        RankedCall large = call("w1", 0, 0, 2, 5, 100);
        RankedCall small = call("w1", 0, 0, 2, 5, 10);

        assertThat(order(SECOND, large, small)).containsExactly(small, large);
    }

    /** Only servers that exist can serve a lifted call, so others must not use up the lift. */
    @Test
    void aCallWithoutServersIsNotLifted() {
        RankedCall live = call("w1", 0, 0, 2, 5, 0);
        RankedCall batch = call("w2", 2, 0, 10, 30, 0);
        for (int count = 0; count < 10; count++) {
            mFloors.recordServed(live.profile(), "m", SECOND);
            mFloors.recordLost(batch.profile(), "other", SECOND);
        }

        assertThat(positions(SECOND, live, batch).get(0).call()).isEqualTo(batch);
        assertThat(
                        mRanking.order(
                                        List.of(live, batch),
                                        Function.identity(),
                                        call -> call == live,
                                        SECOND)
                                .get(0)
                                .call())
                .isEqualTo(live);
    }

    @Test
    void anEstimateRefusesOnlyWithAClearMargin() {
        RoomEstimate estimate = new RoomEstimate(10);

        assertThat(estimate.isOutOfReach(19, Duration.ofSeconds(2))).isFalse();
        assertThat(estimate.isOutOfReach(37, Duration.ofSeconds(2))).isFalse();
        assertThat(estimate.isOutOfReach(39, Duration.ofSeconds(2))).isTrue();
        assertThat(estimate.waitBehind(39)).isEqualTo(Duration.ofSeconds(4));
    }

    @Test
    void turnoverGivesNoEstimateBeforeTwoSecondsAndEightCalls() {
        SlotTurnover turnover = new SlotTurnover();
        for (int sample = 0; sample <= 20; sample++) {
            turnover.sample("fast", sample, 16, sample * SECOND / 10);
            turnover.sample("slow", sample / 10, 16, sample * SECOND / 10);
            if (sample < 20) {
                assertThat(turnover.estimate(List.of("fast"), sample * SECOND / 10)).isEmpty();
            }
        }

        assertThat(turnover.estimate(List.of("fast"), 2 * SECOND)).hasValue(new RoomEstimate(10));
        assertThat(turnover.estimate(List.of("slow"), 2 * SECOND)).isEmpty();
        assertThat(turnover.estimate(List.of("fast", "unknown"), 2 * SECOND)).isEmpty();
        assertThat(turnover.estimate(List.of("fast"), 3 * SECOND)).isEmpty();
    }

    @Test
    void aRefusedCallIsRecognizedOnceForEachRefusalAndForThirtySeconds() {
        ReturningCalls returning = new ReturningCalls();
        CallProfile call = new CallProfile("kind", "w1", 0, "fingerprint");
        returning.recordRefused(call, 0);
        returning.recordRefused(call, SECOND);

        assertThat(returning.recordReturn(call, 2 * SECOND)).isTrue();
        assertThat(returning.recordReturn(call, 2 * SECOND)).isTrue();
        assertThat(returning.recordReturn(call, 2 * SECOND)).isFalse();
        returning.recordRefused(call, 2 * SECOND);
        assertThat(returning.recordReturn(call, 40 * SECOND)).isFalse();
        returning.recordRefused(CallProfile.UNKNOWN, SECOND);
        assertThat(returning.recordReturn(CallProfile.UNKNOWN, SECOND)).isFalse();
    }

    private List<RankedCall> order(long nowNanos, RankedCall... calls) {
        return positions(nowNanos, calls).stream().map(RankPosition::call).toList();
    }

    private List<RankPosition<RankedCall>> positions(long nowNanos, RankedCall... calls) {
        return mRanking.order(List.of(calls), Function.identity(), call -> true, nowNanos);
    }

    private static RankedCall call(
            String workspace, int priority, int enqueued, int objective, int deadline, long work) {
        return new RankedCall(
                priority,
                false,
                false,
                profile(workspace, work),
                "m",
                enqueued * SECOND,
                objective * SECOND,
                deadline * SECOND);
    }

    private static CallProfile profile(String workspace, long work) {
        return new CallProfile("kind of " + workspace, workspace, work, "");
    }
}
