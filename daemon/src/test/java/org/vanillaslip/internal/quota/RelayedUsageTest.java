package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.peer.RelaySimulation;
import org.vanillaslip.internal.serving.WorkspacePolicy;

/** Guards the rate of a workspace when hosts exchange their usage through relays only. */
class RelayedUsageTest {

    private static final Duration STARTUP_TIME = Duration.ofSeconds(14);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int STEPS_PER_SECOND = 100;
    private static final double RATE = 40_000;
    private static final double OVERDRAFT = 6_800;
    private static final long TOKENS_PER_CALL = 1_100;
    private static final int WINDOW_STEPS = 8 * STEPS_PER_SECOND;

    /** The limit of the platform: rate and burst plus a tenth, and a fixed number of tokens. */
    private static final long MAX_WINDOW_TOKENS = (long) ((RATE * 8 + RATE) * 1.1 + 17_000);

    private final Map<String, WorkspaceLimits> mLimits = new LinkedHashMap<>();
    private final List<long[]> mAdmitted = new ArrayList<>();
    private RelaySimulation mWorld = new RelaySimulation(1, 1, 1);
    private final WorkspacePolicy mPolicy =
            new WorkspacePolicy(
                    new Workspace("one"), OptionalInt.empty(), RATE, RATE, true, TOKENS_PER_CALL);
    private int mStep;
    private int mCalls;
    private int mRefused;

    /**
     * Each host gets few calls, in pairs and unevenly spread. Guards against refusals within the
     * rate, which happen when a host's share is less than one call.
     */
    @ParameterizedTest
    @CsvSource({"6, 3", "17, 5", "95, 5", "300, 7"})
    void sparseCallsWithinTheRateAreAdmitted(int hosts, int domains) {
        start(hosts, domains);
        run(3, 0, 1);
        run(12, 0.7 * RATE, 1);

        assertThat(mRefused * 100).isLessThan(mCalls);
        assertThat(largestWindow()).isLessThanOrEqualTo(MAX_WINDOW_TOKENS);
    }

    @ParameterizedTest
    @CsvSource({"6, 3, 4.6", "17, 5, 4.6", "95, 5, 4.6", "300, 7, 4.6", "95, 5, 8"})
    void aWorkspaceFarAboveItsRateStaysWithinTheBound(int hosts, int domains, double rateMultiple) {
        start(hosts, domains);
        run(10, 0.7 * RATE, 2);
        run(12, rateMultiple * RATE, 2);

        assertThat(largestWindow()).isLessThanOrEqualTo(MAX_WINDOW_TOKENS);
        assertThat(totalAdmitted()).isGreaterThan((long) (RATE * 10));
    }

    /** Both sides keep their share, and no usage is counted twice after they reconnect. */
    @Test
    void aPartitionedDomainKeepsItsShareOfTheRate() {
        start(95, 5);
        run(10, 4.6 * RATE, 3);
        mWorld.setReachability(
                (one, other) ->
                        one.domain().name().equals("d0") == other.domain().name().equals("d0"));
        run(12, 4.6 * RATE, 3);
        mWorld.setReachability((one, other) -> true);
        run(12, 4.6 * RATE, 3);

        assertThat(largestWindow()).isLessThanOrEqualTo(MAX_WINDOW_TOKENS);
        assertThat(totalAdmitted()).isGreaterThan((long) (RATE * 28));
    }

    /** Guards against usage that the relay taking over counts twice or not at all. */
    @Test
    void relayFailuresKeepTheBoundAndTheRate() {
        start(95, 5);
        run(10, 4.6 * RATE, 4);
        mWorld.crash(mWorld.relays().get(0));
        mWorld.suspend(mWorld.relays().get(3));
        run(15, 4.6 * RATE, 4);

        assertThat(largestWindow()).isLessThanOrEqualTo(MAX_WINDOW_TOKENS);
        assertThat(totalAdmitted()).isGreaterThan((long) (RATE * 22));
    }

    private void start(int hosts, int domains) {
        mWorld = new RelaySimulation(hosts, domains, 1);
        mWorld.advanceTime(STARTUP_TIME);
        for (RelaySimulation.SimulatedHost member : mWorld.hosts()) {
            WorkspaceLimits limits =
                    new WorkspaceLimits(
                            OVERDRAFT,
                            mWorld.loop(),
                            member.relayedLinks(),
                            member.network(),
                            new Random(member.name().hashCode()),
                            (event, fields) -> {});
            limits.start();
            limits.charge(mPolicy, 0);
            mLimits.put(member.name(), limits);
        }
    }

    private void run(int seconds, double tokensPerSecond, long seed) {
        Random random = new Random(seed);
        double pairsPerStep = tokensPerSecond / TOKENS_PER_CALL / STEPS_PER_SECOND / 2;
        List<RelaySimulation.SimulatedHost> live = mWorld.runningHosts();
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            mStep++;
            mWorld.advanceTime(STEP);
            double pairs = pairsPerStep;
            while (random.nextDouble() < pairs) {
                pairs--;
                double hostPosition = random.nextDouble();
                String host = live.get((int) (hostPosition * hostPosition * live.size())).name();
                call(host);
                call(host);
            }
        }
    }

    private void call(String host) {
        mCalls++;
        WorkspaceLimits limits = Optional.ofNullable(mLimits.get(host)).orElseThrow();
        if (limits.charge(mPolicy, TOKENS_PER_CALL).isRight()) {
            mAdmitted.add(new long[] {mStep, TOKENS_PER_CALL});
        } else {
            mRefused++;
        }
    }

    private long totalAdmitted() {
        return mAdmitted.stream().mapToLong(call -> call[1]).sum();
    }

    private long largestWindow() {
        long largest = 0;
        long sum = 0;
        int first = 0;
        for (long[] call : mAdmitted) {
            sum += call[1];
            while (call[0] - mAdmitted.get(first)[0] >= WINDOW_STEPS) {
                sum -= mAdmitted.get(first++)[1];
            }
            largest = Math.max(largest, sum);
        }
        return largest;
    }
}
