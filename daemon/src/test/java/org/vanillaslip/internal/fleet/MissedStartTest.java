package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a restarted server that a new lease holder takes for a newly started one. */
class MissedStartTest {

    private final HolderChangeSimulation mSimulation = new HolderChangeSimulation(2, 1);

    /** Guards against a wait for a new server while the list of servers is followed. */
    @Test
    void aNewServerGetsItsFirstOrderAfterTheHandoverDelay() {
        startFollowing();
        EngineSimulation.Engine engine = addEngine();
        mSimulation.sendEvent("c", Set.of("h0", "h1"));
        mSimulation.mLeases.hosts().get(0).mDead = true;
        long diedAt = mSimulation.mLeases.millis();
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(7));

        assertThat(engine.mLoaded).contains("m7");
        assertThat(mSimulation.firstOrderOf("h1", diedAt).orElse(Long.MAX_VALUE))
                .isLessThan(diedAt + 5500);
    }

    /** Guards against an event that shows only the last of two starts, as relays forward it. */
    @ParameterizedTest
    @ValueSource(ints = {6500, 7000, 7500, 8000})
    void aStartThatNoEventShowedIsNotTheFirst(int delayMillis) {
        startFollowing();
        EngineSimulation.Engine engine = addEngine();
        sendLateOrderWithoutTheSecondHost(delayMillis);
        engine.restart();
        mSimulation.sendEvent("c", Set.of("h1"));
        mSimulation.mFollowing.add("h1");
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(25));

        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(engine.mLoaded).contains("m7");
    }

    /** Guards against a server whose first start came and went while no changes were heard. */
    @ParameterizedTest
    @ValueSource(ints = {6500, 7000, 7500, 8000})
    void aStartAfterOneThatWasRemovedUnseenIsNotTheFirst(int delayMillis) {
        startFollowing();
        EngineSimulation.Engine engine = addEngine();
        sendLateOrderWithoutTheSecondHost(delayMillis);
        mSimulation.mFollowing.add("h1");
        mSimulation.run(Duration.ofMillis(500));
        engine.restart();
        mSimulation.sendEvent("c", Set.of("h1"));
        mSimulation.request("m7");
        mSimulation.run(Duration.ofSeconds(25));

        assertThat(mSimulation.turnsWithinHandoverDelay()).isEmpty();
        assertThat(engine.mLoaded).contains("m7");
    }

    private void startFollowing() {
        mSimulation.mFollowing.addAll(Set.of("h0", "h1"));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(40));
    }

    private EngineSimulation.Engine addEngine() {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m5"));
        engine.mStartedAtMillis = mSimulation.mLeases.millis();
        return engine;
    }

    /** Lets the first holder order the server while the second host hears of no change. */
    private void sendLateOrderWithoutTheSecondHost(int delayMillis) {
        mSimulation.mFollowing.remove("h1");
        mSimulation.sendEvent("c", Set.of("h0"));
        mSimulation.request("m6");
        mSimulation.run(Duration.ofSeconds(4));
        mSimulation.mEngines.mDelayMillis = order -> order.holder().equals("h0") ? delayMillis : 0;
        mSimulation.request("m9");
        mSimulation.run(Duration.ofMillis(400));
        mSimulation.mLeases.hosts().get(0).mDead = true;
        mSimulation.run(Duration.ofMillis(600));
    }
}
