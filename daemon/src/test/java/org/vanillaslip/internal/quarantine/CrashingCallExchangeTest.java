package org.vanillaslip.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a repeated call that crashes servers through one host after the other. */
class CrashingCallExchangeTest {

    private static final int SEEDS = 20;

    /** Bound of the platform for sends of the call, from the third crash. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private static final int MAX_LATER_SENDS = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(10);

    /** Guards against hosts that each see too few crashes to find the call. */
    @ParameterizedTest(name = "{0} hosts, the call every {2} ms")
    @CsvSource({"2,1,400", "6,3,700", "8,4,150", "20,3,1500", "100,4,700"})
    void allHostsKeepACrashingCallFromTheServers(int hosts, int domains, long intervalMillis) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(hosts, domains, seed);
            simulation.startSoundCalls(Duration.ofMillis(40));
            simulation.startRepeatedSoundCall(20, Duration.ofMillis(500));
            simulation.advance(WARM_UP);
            String call =
                    simulation.startRepeatedCrashingCall(1, Duration.ofMillis(intervalMillis));
            simulation.advance(Duration.ofSeconds(40));

            assertThat(simulation.quarantinedParts()).as("seed %d", seed).containsExactly(call);
            assertThat(simulation.informedHosts()).as("seed %d", seed).isEqualTo(hosts);
            assertThat(simulation.sendsAfterThirdCrash(call, CONTACT_TIME))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(MAX_LATER_SENDS);
            assertThat(simulation.soundCallsRefused()).as("seed %d", seed).isZero();
        }
    }

    /** Guards against two calls that hide behind each other's crashes. */
    @Test
    void twoCrashingCallsAtOnceAreBothFound() {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(8, 4, seed);
            simulation.startSoundCalls(Duration.ofMillis(40));
            simulation.startRepeatedSoundCall(20, Duration.ofMillis(500));
            simulation.advance(WARM_UP);
            String one = simulation.startRepeatedCrashingCall(1, Duration.ofMillis(700));
            String other = simulation.startRepeatedCrashingCall(2, Duration.ofMillis(900));
            simulation.advance(Duration.ofSeconds(60));

            assertThat(simulation.quarantinedParts())
                    .as("seed %d", seed)
                    .containsExactlyInAnyOrder(one, other);
            assertThat(simulation.sendsAfterThirdCrash(one, CONTACT_TIME))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(MAX_LATER_SENDS);
            assertThat(simulation.sendsAfterThirdCrash(other, CONTACT_TIME))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(MAX_LATER_SENDS);
        }
    }

    /** Guards against a call that hides behind the crashes of a prompt part, or hides that part. */
    @Test
    void aCrashingCallBesideACrashingPartIsFound() {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(8, 4, seed);
            simulation.startSoundCalls(Duration.ofMillis(40));
            simulation.advance(WARM_UP);
            simulation.startCrashingCalls(Duration.ofMillis(700));
            String call = simulation.startRepeatedCrashingCall(1, Duration.ofMillis(900));
            simulation.advance(Duration.ofSeconds(60));

            assertThat(simulation.quarantinedParts())
                    .as("seed %d", seed)
                    .containsExactlyInAnyOrder(call, CrashSimulation.CRASHING_PART);
            assertThat(simulation.sendsAfterThirdCrash(call, CONTACT_TIME))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(MAX_LATER_SENDS);
        }
    }

    /** Guards against a frequent sound call that is blamed for servers that restart in turn. */
    @Test
    void restartsInSeriesBlameNoCall() {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(8, 4, seed);
            simulation.startSoundCalls(Duration.ofMillis(40));
            simulation.startRepeatedSoundCall(20, Duration.ofMillis(150));
            simulation.advance(WARM_UP);
            simulation.startSeriesOfCrashes(3, Duration.ofMillis(200));
            simulation.advance(Duration.ofSeconds(20));
            simulation.startSeriesOfCrashes(10, Duration.ofMillis(1000));
            simulation.advance(Duration.ofSeconds(30));

            assertThat(simulation.crashCount()).as("seed %d", seed).isGreaterThanOrEqualTo(10);
            assertThat(simulation.quarantinedParts()).as("seed %d", seed).isEmpty();
            assertThat(simulation.soundCallsRefused()).as("seed %d", seed).isZero();
        }
    }

    /** Guards against a sound call that is blamed when all servers crash at once. */
    @Test
    void serversThatCrashAtOnceBlameNoCall() {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(8, 4, seed);
            simulation.startRepeatedSoundCall(20, Duration.ofMillis(500));
            simulation.advance(WARM_UP);
            for (int time = 0; time < 3; time++) {
                simulation.crashAllServers();
                simulation.advance(Duration.ofSeconds(8));
            }

            assertThat(simulation.crashCount()).as("seed %d", seed).isEqualTo(18);
            assertThat(simulation.quarantinedParts()).as("seed %d", seed).isEmpty();
        }
    }
}
