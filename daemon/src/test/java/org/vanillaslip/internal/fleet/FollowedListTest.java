package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;

/** Guards against a new server whose first order waits, because a host seems to miss changes. */
class FollowedListTest {

    private static final String NEW_SERVER = "new-server";

    /** Guards against hosts that hear nothing of a list of servers that does not change. */
    @ParameterizedTest
    @CsvSource({"9, 708", "30, 1392"})
    void aNewServerIsKnownAsNewWhileOnlyTheLeaseChanges(int hosts, int pauseMillis) {
        PropagationWorld world = new PropagationWorld(1, hosts, Duration.ofMillis(pauseMillis));
        runWithLease(world, Duration.ofSeconds(40));
        addServer(world);

        assertThat(hostsWithoutFirstStart(world)).isEmpty();
    }

    /** Guards against hosts that seem to miss changes when their relays are replaced. */
    @ParameterizedTest
    @CsvSource({"9, 708", "30, 1392"})
    void aNewServerIsKnownAsNewAfterTheLossOfBothRelaysOfADomain(int hosts, int pauseMillis) {
        PropagationWorld world = new PropagationWorld(1, hosts, Duration.ofMillis(pauseMillis));
        runWithLease(world, Duration.ofSeconds(40));
        world.relaysOf("d1").forEach(world.mHosts::crash);
        runWithLease(world, Duration.ofSeconds(5));
        addServer(world);

        assertThat(hostsWithoutFirstStart(world)).isEmpty();
    }

    private static void runWithLease(PropagationWorld world, Duration time) {
        for (long second = 0; second < time.toSeconds(); second++) {
            world.mStore.put("controlshards", "fleet", PropagationWorld.entry(false, second));
            world.run(Duration.ofSeconds(1));
        }
    }

    private static void addServer(PropagationWorld world) {
        world.mStore.put(PropagationWorld.COLLECTION, NEW_SERVER, PropagationWorld.entry(false, 1));
        runWithLease(world, Duration.ofSeconds(3));
    }

    private static List<String> hostsWithoutFirstStart(PropagationWorld world) {
        return world.mHosts.runningHosts().stream()
                .map(SimulatedHost::name)
                .filter(
                        host ->
                                world.mDirectories
                                        .get(host)
                                        .member(NEW_SERVER)
                                        .filter(FleetMember::firstStart)
                                        .isEmpty())
                .toList();
    }
}
