package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ServerSpeedRankingTest {

    @Test
    void aFastServerGetsACallAlthoughMoreOfItsSlotsAreInUse() {
        List<RankedServer> servers =
                List.of(
                        new RankedServer("slow", 5, 16, true, false, false, 0.7),
                        new RankedServer("fast", 9, 16, true, false, false, 1.7));

        assertThat(ServerRanking.best(servers, 1, new Random(1)))
                .map(RankedServer::instance)
                .hasValue("fast");
    }

    /** Guards against other choices where no speed is measured. */
    @Test
    void serversWithoutAMeasuredSpeedRankByTheirLoad() {
        Random random = new Random(1);
        for (int run = 0; run < 10_000; run++) {
            List<RankedServer> servers = new ArrayList<>();
            for (int server = 0; server < 5; server++) {
                servers.add(
                        new RankedServer(
                                Integer.toString(server),
                                random.nextInt(20),
                                random.nextInt(17),
                                random.nextBoolean(),
                                random.nextInt(5) == 0,
                                random.nextInt(5) == 0));
            }
            int hosts = 1 + random.nextInt(60);
            long seed = random.nextLong();

            assertThat(ServerRanking.best(servers, hosts, new Random(seed)).orElseThrow())
                    .isEqualTo(bestByLoad(servers, hosts, new Random(seed)));
        }
    }

    /** The ranking as it was before speeds were measured. */
    private static RankedServer bestByLoad(List<RankedServer> servers, int hosts, Random random) {
        RankedServer best = servers.get(0);
        double lowestCost = Double.MAX_VALUE;
        for (RankedServer server : servers) {
            double slots = Math.max(1, server.requestSlots());
            double uncertainty = Math.max(0.01, Math.min(1, (hosts - 1) / slots));
            double cost = server.inUse() / slots;
            cost += server.sameDomain() ? 0 : 0.12;
            cost -= server.promptCached() ? 0.08 : 0;
            cost += random.nextDouble() * uncertainty;
            cost += server.suspected() ? 0.5 + uncertainty : 0;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = server;
            }
        }
        return best;
    }
}
