package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an overcommitted server after a load that was executed late. */
class LateLoadTest {

    private final HolderChangeSimulation mSimulation = new HolderChangeSimulation(1, 1);

    /**
     * Guards against a refusal by a late load that is taken for an unload that still waits. When
     * the end of the unload was assumed again, the known models lacked the late load's model.
     */
    @ParameterizedTest
    @CsvSource({"600, 1220", "630, 1320", "690, 1280", "780, 1300"})
    void aRefusalAfterALateLoadIsNotTakenForAnUnloadThatWaits(int lateMillis, int requestMillis) {
        EngineSimulation.Engine engine = mSimulation.mEngines.add("c", Set.of("m0", "m1", "m2"));
        mSimulation.start();
        mSimulation.run(Duration.ofSeconds(4));
        mSimulation.mEngines.mDelayMillis =
                order -> order.kind() == OrderKind.LOAD ? lateMillis : 0;
        mSimulation.request("m8");
        mSimulation.run(Duration.ofMillis(600));
        mSimulation.mEngines.mDelayMillis = order -> 0;
        mSimulation.request();
        mSimulation.run(Duration.ofMillis(requestMillis));
        mSimulation.request("m3");
        mSimulation.run(Duration.ofSeconds(6));

        assertThat(mSimulation.mEngines.mViolations).isEmpty();
        assertThat(engine.mLoaded).contains("m3");
    }
}
