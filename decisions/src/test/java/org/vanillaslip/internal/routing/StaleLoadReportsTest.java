package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates many hosts that each send few calls for a model on a few servers, and that receive the
 * load of the servers once a second. Guards against hosts that all send to the server with the
 * lowest load in the last report, where calls queue while other servers have capacity.
 */
class StaleLoadReportsTest {

    private static final int SERVERS = 4;
    private static final int REQUEST_SLOTS = 12;
    private static final double CALL_SECONDS = 1.5;
    private static final double REPORT_INTERVAL_SECONDS = 1;
    private static final double SIMULATED_SECONDS = 2000;

    /** Average fraction of the total capacity in use. */
    private static final double UTILIZATION = 0.5;

    /** Fewer than one call in twenty may queue while half of the total capacity is free. */
    private static final double MAX_QUEUED_FRACTION = 0.05;

    private final Random mRandom = new Random(7);
    private final int[] mRunning = new int[SERVERS];
    private final int[] mReportedRunning = new int[SERVERS];

    /** The time at which a server finishes a call of a host. */
    private record CallEnd(double at, int server, int host) {}

    @ParameterizedTest
    @ValueSource(ints = {6, 17, 95, 300})
    void fewCallsQueueWhileOtherServersHaveCapacity(int hosts) {
        int[][] own = new int[hosts][SERVERS];
        int[][] ownAtReport = new int[hosts][SERVERS];
        PriorityQueue<CallEnd> callEnds =
                new PriorityQueue<>((one, other) -> Double.compare(one.at(), other.at()));
        double callsPerSecond = UTILIZATION * SERVERS * REQUEST_SLOTS / CALL_SECONDS;
        double nextReportAt = 0;
        int calls = 0;
        int queued = 0;
        for (double now = 0;
                now < SIMULATED_SECONDS;
                now += -Math.log(1 - mRandom.nextDouble()) / callsPerSecond) {
            while (!callEnds.isEmpty() && callEnds.peek().at() <= now) {
                CallEnd end = callEnds.poll();
                mRunning[end.server()]--;
                own[end.host()][end.server()]--;
            }
            if (now >= nextReportAt) {
                nextReportAt = now + REPORT_INTERVAL_SECONDS;
                System.arraycopy(mRunning, 0, mReportedRunning, 0, SERVERS);
                for (int host = 0; host < hosts; host++) {
                    ownAtReport[host] = own[host].clone();
                }
            }
            int host = mRandom.nextInt(hosts);
            int server = choose(host, hosts, own, ownAtReport);
            calls++;
            if (mRunning[server] >= REQUEST_SLOTS) {
                queued++;
            }
            mRunning[server]++;
            own[host][server]++;
            callEnds.add(new CallEnd(now + CALL_SECONDS, server, host));
        }

        assertThat((double) queued / calls).isLessThan(MAX_QUEUED_FRACTION);
    }

    private int choose(int host, int hosts, int[][] own, int[][] ownAtReport) {
        List<RankedServer> servers = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            int otherHostsCalls = mReportedRunning[server] - ownAtReport[host][server];
            servers.add(
                    new RankedServer(
                            Integer.toString(server),
                            own[host][server] + otherHostsCalls,
                            REQUEST_SLOTS,
                            server == host % SERVERS,
                            false,
                            false));
        }
        return Integer.parseInt(
                ServerRanking.best(servers, hosts, mRandom).orElseThrow().instance());
    }
}
