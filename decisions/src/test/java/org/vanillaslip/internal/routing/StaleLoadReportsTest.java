package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The load of a fleet of many hosts: a model stands on a few servers, each host sends few calls,
 * and hears once a second how many calls the servers run. Guards against hosts that all send to the
 * server which the last news showed as the emptiest, where calls queue while others stand free.
 */
class StaleLoadReportsTest {

    private static final int SERVERS = 4;
    private static final int PLACES = 12;
    private static final double CALL_SECONDS = 1.5;
    private static final double NEWS_SECONDS = 1;
    private static final double SECONDS = 2000;

    /** Part of all places in use on average. */
    private static final double LOAD = 0.5;

    /** Late calls are to stay below one in twenty while half of all places are free. */
    private static final double MOST_QUEUED = 0.05;

    private final Random mRandom = new Random(7);
    private final int[] mRunning = new int[SERVERS];
    private final int[] mNews = new int[SERVERS];

    /** The end of a call at a server, of the calls that one host has sent. */
    private record End(double at, int server, int host) {}

    @ParameterizedTest
    @ValueSource(ints = {6, 17, 95, 300})
    void fewCallsQueueWhileOtherServersAreFree(int hosts) {
        int[][] own = new int[hosts][SERVERS];
        int[][] ownAtNews = new int[hosts][SERVERS];
        PriorityQueue<End> ends =
                new PriorityQueue<>((one, other) -> Double.compare(one.at(), other.at()));
        double perSecond = LOAD * SERVERS * PLACES / CALL_SECONDS;
        double news = 0;
        int calls = 0;
        int queued = 0;
        for (double now = 0;
                now < SECONDS;
                now += -Math.log(1 - mRandom.nextDouble()) / perSecond) {
            while (!ends.isEmpty() && ends.peek().at() <= now) {
                End end = ends.poll();
                mRunning[end.server()]--;
                own[end.host()][end.server()]--;
            }
            if (now >= news) {
                news = now + NEWS_SECONDS;
                System.arraycopy(mRunning, 0, mNews, 0, SERVERS);
                for (int host = 0; host < hosts; host++) {
                    ownAtNews[host] = own[host].clone();
                }
            }
            int host = mRandom.nextInt(hosts);
            int server = choose(host, hosts, own, ownAtNews);
            calls++;
            if (mRunning[server] >= PLACES) {
                queued++;
            }
            mRunning[server]++;
            own[host][server]++;
            ends.add(new End(now + CALL_SECONDS, server, host));
        }

        assertThat((double) queued / calls).isLessThan(MOST_QUEUED);
    }

    private int choose(int host, int hosts, int[][] own, int[][] ownAtNews) {
        List<RankedServer> choices = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            int others = mNews[server] - ownAtNews[host][server];
            choices.add(
                    new RankedServer(
                            Integer.toString(server),
                            own[host][server] + others,
                            PLACES,
                            server == host % SERVERS,
                            false,
                            false));
        }
        return Integer.parseInt(
                ServerRanking.best(choices, hosts, mRandom).orElseThrow().instance());
    }
}
