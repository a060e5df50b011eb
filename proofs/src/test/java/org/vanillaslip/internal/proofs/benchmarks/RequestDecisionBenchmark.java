package org.vanillaslip.internal.proofs.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.vanillaslip.RequestClass;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.admission.Caller;
import org.vanillaslip.internal.admission.KeyCheck;
import org.vanillaslip.internal.admission.PlanCheck;
import org.vanillaslip.internal.queue.FairQueue;
import org.vanillaslip.internal.queue.QueueLimits;
import org.vanillaslip.internal.queue.WaitingRequest;
import org.vanillaslip.internal.quota.QuotaAccount;
import org.vanillaslip.internal.quota.QuotaTimes;
import org.vanillaslip.internal.routing.Candidate;
import org.vanillaslip.internal.routing.ReplicaSelector;

/** Cost of the decisions on the way of one request. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RequestDecisionBenchmark {

    private static final int REPLICAS = 4;
    private static final int WAITING = 100;
    private static final long SECOND = 1_000_000_000L;

    private record RouteEntry(long recordVersion, String incarnation, Candidate candidate) {}

    private final BenchmarkFixture mFixture = new BenchmarkFixture(100);
    private final Random mRandom = new Random(1);
    private final QuotaAccount mAccount = new QuotaAccount(QuotaTimes.DEFAULT, 0, () -> 1);
    private final FairQueue mQueue = new FairQueue(QueueLimits.defaults());
    private final Caller mCaller =
            new Caller(Optional.of(new Workspace("w")), Optional.of("digest"));
    private final Map<String, String> mIncarnations = new HashMap<>();
    private final Map<String, RouteEntry> mEntries = new HashMap<>();
    private final long mRecordVersion = 7;
    private long mNowNanos = SECOND;
    private int mNext;

    /** Fills the quota, the queue and the cached route entry. */
    public RequestDecisionBenchmark() {
        mAccount.resize(1e9, 1_000_000_000L, 0);
        for (int i = 0; i < BenchmarkFixture.SERVERS; i++) {
            mIncarnations.put("engine" + i, "engine" + i + "-1");
        }
        mEntries.put("m1", new RouteEntry(mRecordVersion, "engine0-1", candidates().get(0)));
        for (int i = 0; i < WAITING; i++) {
            offer();
        }
    }

    /** Chooses a server from scratch, the list of candidates included. */
    @Benchmark
    public Object routeFromScratch() {
        return ReplicaSelector.choose(candidates(), OptionalLong.empty(), mRandom);
    }

    /** Checks the preconditions of a cached route entry; it ignores the load of the servers. */
    @Benchmark
    public Object routeFromCachedEntry() {
        RouteEntry entry = mEntries.get("m1");
        boolean valid =
                entry != null
                        && entry.recordVersion() == mRecordVersion
                        && entry.incarnation()
                                .equals(mIncarnations.get(entry.candidate().server().name()));
        return valid && entry != null ? entry.candidate() : routeFromScratch();
    }

    /** Looks the key up, checks the plan and charges the quota. */
    @Benchmark
    public Object admit() {
        mNowNanos += 1_000;
        return KeyCheck.check(
                        mFixture.mConfiguration,
                        BenchmarkFixture.ROUTE,
                        Optional.of(BenchmarkFixture.KEY))
                .flatMap(
                        caller ->
                                PlanCheck.check(
                                        mFixture.mConfiguration,
                                        BenchmarkFixture.ROUTE,
                                        caller,
                                        BenchmarkFixture.name(1)))
                .map(model -> mAccount.charge(1, mNowNanos));
    }

    /** Adds one request to a queue of 100 and takes one. */
    @Benchmark
    public Object queueInsertAndTake() {
        offer();
        Optional<WaitingRequest> head = mQueue.peek("m1");
        head.ifPresent(mQueue::serve);
        return head;
    }

    private void offer() {
        WaitingRequest request =
                new WaitingRequest(
                        "r" + mNext++,
                        "m1",
                        mCaller,
                        RequestClass.INTERACTIVE,
                        100,
                        1_000,
                        Long.MAX_VALUE / 2);
        mQueue.offer(request, Duration.ZERO, 0);
    }

    private List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            candidates.add(
                    new Candidate(
                            mFixture.server(i),
                            "engine" + i + "-1",
                            false,
                            i,
                            i,
                            Optional.of(Duration.ofHours(1))));
        }
        return candidates;
    }
}
