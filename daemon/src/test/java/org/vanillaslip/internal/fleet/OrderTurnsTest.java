package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against servers that execute orders of two hosts within the handover delay. */
class OrderTurnsTest {

    private final HolderChangeSimulation mSimulation = new HolderChangeSimulation(2, 1);

    /** Guards against an order that fits again because its server restarted and counted anew. */
    @ParameterizedTest
    @ValueSource(ints = {6500, 7000, 7500, 8000})
    void aLateOrderOfThePreviousHolderIsNotExecutedAfterARestartOfItsServer(int delayMillis) {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.request("m6");
        mSimulation.run(Duration.ofSeconds(6));
        assertThat(engine.mLoaded).contains("m6");
        sendLateOrder("m9", delayMillis);
        mSimulation.run(Duration.ofMillis(600));
        engine.restart();
        mSimulation.listEngines();
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(25));

        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(engine.mLoaded).contains("m7").doesNotContain("m9");
    }

    /** Guards against a report that is taken for one of the process before a restart. */
    @ParameterizedTest
    @CsvSource({
        "6500, true",
        "7000, true",
        "7500, true",
        "8000, true",
        "6500, false",
        "7000, false",
        "7500, false",
        "8000, false"
    })
    void aRestartThatIsNotListedYetDoesNotLetALateOrderFit(
            int delayMillis, boolean reportsStartTime) {
        mSimulation.mEngines.mReportsStartTime = reportsStartTime;
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.request("m6");
        mSimulation.run(Duration.ofSeconds(6));
        sendLateOrder("m9", delayMillis);
        mSimulation.run(Duration.ofMillis(600));
        mSimulation.listEngines();
        engine.restart();
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(10));
        mSimulation.listEngines();
        mSimulation.run(Duration.ofSeconds(15));

        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(engine.mLoaded).contains("m7").doesNotContain("m9");
    }

    /** Guards against an order right after one of the previous holder that was executed late. */
    @ParameterizedTest
    @ValueSource(ints = {2500, 3000, 3500, 4000, 4500, 5000, 5500, 6000})
    void aServerThatExecutedALateOrderGetsNoOrderWithinTheHandoverDelay(int delayMillis) {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(5));
        sendLateOrder("m9", delayMillis);
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(20));

        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(engine.mLoaded).contains("m7");
    }

    /** Guards against a wait after each unanswered order that a new holder itself has sent. */
    @Test
    void aLateOrderOfTheHolderDoesNotDelayItsNextOrder() {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.mLeases.hosts().get(0).mDead = true;
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(8));
        assertThat(engine.mLoaded).contains("m7");
        mSimulation.mEngines.mDelayMillis = order -> 1500;
        mSimulation.request("m8");
        mSimulation.run(Duration.ofMillis(400));
        mSimulation.mEngines.mDelayMillis = order -> 0;
        mSimulation.request();
        mSimulation.run(Duration.ofMillis(1200));
        mSimulation.request("m9");
        mSimulation.run(Duration.ofMillis(2900));

        assertThat(engine.mLoaded).contains("m8", "m9");
    }

    /** Guards against a wait for all servers because one of them may execute a late order. */
    @Test
    void otherServersGetOrdersAfterTheHandoverDelay() {
        mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(5));
        long diedAt = sendLateOrder("m9", 4500);
        EngineSimulation.Engine other = mSimulation.mEngines.add("d", Set.of("m5"));
        mSimulation.listEngines();
        mSimulation.request("m7", "m8");
        mSimulation.run(Duration.ofSeconds(7));

        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(other.mLoaded).isNotEmpty();
        assertThat(mSimulation.firstOrderOf("h1", diedAt).orElse(Long.MAX_VALUE))
                .isLessThan(diedAt + 5500);
    }

    /** Guards against a longer wait after a planned stop whose orders were all answered. */
    @Test
    void ordersGoOnAfterTheHandoverDelayWhenTheReleasedHoldersOrdersWereAnswered() {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.request("m6");
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.request("m6", "m7");
        mSimulation.run(Duration.ofMillis(1500));
        LeaseSimulation.TestHost holder = mSimulation.mLeases.hosts().get(0);
        holder.mLease.release().subscribe();
        long releasedAt = mSimulation.mLeases.millis();
        mSimulation.request("m8");
        engine.mLoaded.remove("m6");
        mSimulation.run(Duration.ofSeconds(6));

        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(mSimulation.firstOrderOf("h1", releasedAt).orElse(Long.MAX_VALUE))
                .isLessThan(releasedAt + 4000);
    }

    /**
     * Guards against a late order to a server that a host takes for a new one, because its watch of
     * the server list was down while the server started, got the order, and started again.
     */
    @ParameterizedTest
    @ValueSource(ints = {6500, 7000, 7500, 8000})
    void aLateOrderToAServerWhoseFirstStartWasMissedIsNotExecutedAfterItsRestart(int delayMillis) {
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(40));
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        engine.mStartedAtMillis = mSimulation.mLeases.millis();
        mSimulation.listEngines(Set.of("h0"));
        mSimulation.request("m6");
        mSimulation.run(Duration.ofSeconds(4));
        assertThat(engine.mLoaded).contains("m6");
        sendLateOrder("m9", delayMillis);
        mSimulation.run(Duration.ofMillis(600));
        engine.restart();
        mSimulation.listEngines();
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(25));

        assertThat(engine.mLoaded).contains("m7");
        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
    }

    /**
     * Guards against a late order that is taken for an own one, because the server answered the own
     * order with 200 and did not count it.
     */
    @ParameterizedTest
    @ValueSource(ints = {6000, 6500, 7000, 7500, 8000})
    void aLateOrderAfterAnOwnOrderThatAlreadyHeldIsFollowedByTheHandoverDelay(int delayMillis) {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(5));
        sendLateOrder("m9", delayMillis);
        mSimulation.mEngines.mDelayMillis =
                order -> {
                    // The first model that the next holder requests is there, and not reported yet.
                    if (order.holder().equals("h1") && engine.mOrderCount == 0) {
                        engine.mLoaded.add(order.model());
                    }
                    return 0;
                };
        mSimulation.request("m7");
        for (int round = 0; round < 60; round++) {
            if (!engine.mLoaded.contains("m7") || engine.mOrderCount > 0) {
                mSimulation.request(engine.mOrderCount > 0 ? "m8" : "m7");
            }
            mSimulation.run(Duration.ofMillis(250));
        }

        assertThat(mSimulation.mEngines.mAccepted)
                .extracting(EngineSimulation.AcceptedOrder::holder)
                .startsWith("h0")
                .contains("h1");
        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
    }

    /**
     * Guards against an order that expects one order more than its server has counted, because the
     * server answered the unload of an adapter that it lacked with 200, and did not count it.
     */
    @ParameterizedTest
    @ValueSource(ints = {5500, 6000, 6500, 7000, 7500, 8000})
    void aLateOrderThatExpectsAnUncountedUnloadIsNotExecutedAmongOrdersOfTheNextHolder(
            int delayMillis) {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        engine.mAdapters.put("m5", new HashSet<>(Set.of("a1", "a2")));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(5));
        List<EngineOrder> sent = new ArrayList<>();
        mSimulation.mEngines.mDelayMillis =
                order -> {
                    sent.add(order);
                    if (!order.holder().equals("h0")) {
                        return 0;
                    }
                    if (order.kind() == OrderKind.UNLOAD) {
                        engine.mAdapters.get("m5").remove(order.adapter().orElseThrow());
                        return 0;
                    }
                    return delayMillis;
                };
        mSimulation.request("m5:a3");
        mSimulation.run(Duration.ofMillis(400));
        mSimulation.mLeases.hosts().get(0).mDead = true;
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(4));
        mSimulation.request("m7", "m8");
        mSimulation.run(Duration.ofSeconds(16));

        assertThat(sent)
                .filteredOn(order -> order.holder().equals("h0"))
                .extracting(EngineOrder::kind)
                .startsWith(OrderKind.UNLOAD, OrderKind.LOAD);
        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
    }

    /** Guards against an order that is permitted before its connection opens and leaves after. */
    @ParameterizedTest
    @ValueSource(ints = {400, 600, 900, 1500})
    void anOrderDoesNotLeaveAfterItsPermissionEndedWhileItsConnectionOpened(int connectMillis) {
        mSimulation.mEngines.add("c", Set.of("m5"));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(5));
        mSimulation.mEngines.mConnectMillis =
                order -> order.holder().equals("h0") ? connectMillis : 0;
        mSimulation.mLeases.hosts().get(0).mStoreUnavailable = true;
        for (int round = 0; round < 40; round++) {
            mSimulation.request("m" + (6 + round % 6));
            mSimulation.run(Duration.ofMillis(250));
        }

        assertThat(mSimulation.ordersWithoutPermission()).isEmpty();
        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
    }

    /** Injects late and unanswered orders, restarts of servers, and changes of the holder. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noServerExecutesOrdersOfTwoHostsInTurnUnderRandomFaults(long seed) {
        HolderChangeSimulation simulation = runWithRandomFaults(seed);

        assertThat(simulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(simulation.ordersWithoutPermission()).isEmpty();
    }

    /** Guards against a load into an occupied slot after a late load or a change of the holder. */
    @ParameterizedTest
    @ValueSource(longs = {69, 1007})
    void noServerIsOvercommittedWhileTheHolderChangesUnderRandomFaults(long seed) {
        assertThat(runWithRandomFaults(seed).mEngines.mViolations).isEmpty();
    }

    private static HolderChangeSimulation runWithRandomFaults(long seed) {
        HolderChangeSimulation simulation = new HolderChangeSimulation(3, seed);
        Random random = new Random(seed);
        simulation.mEngines.add("a", Set.of("m0", "m1", "m2"));
        simulation.mEngines.add("b", Set.of("m0", "m3", "m4"));
        simulation.mEngines.add("c", Set.of("m5"));
        simulation.start();
        simulation.run(Duration.ofSeconds(4));
        simulation.mEngines.mLateOrderProbability = 0.3;
        simulation.mEngines.mMaxLateMillis = 11_500;
        for (int round = 0; round < 60; round++) {
            simulation.request(
                    "m" + random.nextInt(12), "m" + random.nextInt(12), "m" + random.nextInt(12));
            simulation.run(Duration.ofMillis(300 + random.nextInt(1500)));
            injectFault(simulation, random);
        }
        return simulation;
    }

    private static void injectFault(HolderChangeSimulation simulation, Random random) {
        List<LeaseSimulation.TestHost> hosts = simulation.mLeases.hosts();
        LeaseSimulation.TestHost host = hosts.get(random.nextInt(hosts.size()));
        switch (random.nextInt(8)) {
            case 0 -> host.mSuspended = !host.mSuspended;
            case 1 -> host.mStoreUnavailable = !host.mStoreUnavailable;
            case 2 -> host.mLease.release().subscribe();
            case 3 -> {
                host.mStoreUnavailable = false;
                simulation.restart(host);
            }
            case 4, 5 -> {
                List<String> names = List.copyOf(simulation.mEngines.mEngines.keySet());
                simulation.mEngines.mEngines.get(names.get(random.nextInt(names.size()))).restart();
                simulation.listEngines();
            }
            default -> {}
        }
    }

    /**
     * Makes the first holder send a load that gets no answer and is executed late, and ends its
     * process. Returns the time of its end.
     */
    private long sendLateOrder(String model, int delayMillis) {
        mSimulation.mEngines.mDelayMillis = order -> order.holder().equals("h0") ? delayMillis : 0;
        mSimulation.request(model);
        mSimulation.run(Duration.ofMillis(400));
        mSimulation.mLeases.hosts().get(0).mDead = true;
        return mSimulation.mLeases.millis();
    }
}
