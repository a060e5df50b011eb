package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;

/** Guards against hosts that do not follow a store which came back from an older copy. */
class RestoredStorePropagationTest {

    private static final int SMALL_DEPLOYMENT_HOSTS = 9;
    private static final Duration SMALL_DEPLOYMENT_WATCH_PAUSE = Duration.ofMillis(708);
    private static final Duration SMALL_DEPLOYMENT_DRAIN_BOUND = Duration.ofMillis(2000);
    private static final String LEAVING = "server-0";

    /** Guards against hosts that ignore a restored store until its revisions have caught up. */
    @ParameterizedTest
    @CsvSource({"9, 708, 2000", "100, 800, 3000"})
    void anAnnouncementAfterTheStoreHasGoneBackIsInForceInTime(
            int hosts, int watchPauseMillis, int boundMillis) {
        for (int seed = 0; seed < (hosts > 9 ? 2 : 20); seed++) {
            PropagationWorld world =
                    new PropagationWorld(seed, hosts, Duration.ofMillis(watchPauseMillis));
            world.mStore.copy();
            world.runWithOtherChanges(Duration.ofSeconds(10));
            world.mStore.restore();
            world.run(Duration.ofMillis(seed * 100L));
            world.announce(LEAVING);
            world.runWithOtherChanges(Duration.ofMillis(boundMillis));

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    /** Guards against relays of an earlier era that undo what others know of the later one. */
    @Test
    void anAnnouncementAfterADomainWasCutOffDuringTheReturnIsInForceInTime() {
        for (int seed = 0; seed < 20; seed++) {
            PropagationWorld world =
                    new PropagationWorld(
                            seed, SMALL_DEPLOYMENT_HOSTS, SMALL_DEPLOYMENT_WATCH_PAUSE);
            List<SimulatedHost> cutOff =
                    world.mHosts.runningHosts().stream()
                            .filter(host -> host.domain().name().equals("d1"))
                            .toList();
            world.mStore.copy();
            world.runWithOtherChanges(Duration.ofSeconds(4));
            cutOff.forEach(host -> world.treat(host, treatment(world.mRandom.nextInt(2))));
            world.mStore.restore();
            world.runWithOtherChanges(Duration.ofSeconds(3));
            world.mStore.restore();
            world.runWithOtherChanges(Duration.ofSeconds(3));
            cutOff.forEach(host -> world.treat(host, SimulatedStore.Treatment.ANSWERED));
            world.runWithOtherChanges(Duration.ofSeconds(3));
            world.announce(LEAVING);
            world.runWithOtherChanges(SMALL_DEPLOYMENT_DRAIN_BOUND);

            assertThat(world.hostsSendingTo(LEAVING)).as("seed " + seed).isEmpty();
        }
    }

    private static SimulatedStore.Treatment treatment(int seed) {
        return seed % 2 == 0 ? SimulatedStore.Treatment.SILENT : SimulatedStore.Treatment.REFUSED;
    }
}
