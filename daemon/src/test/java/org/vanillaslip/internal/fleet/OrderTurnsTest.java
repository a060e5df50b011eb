package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
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

        assertThat(simulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(simulation.mEngines.mViolations).isEmpty();
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
