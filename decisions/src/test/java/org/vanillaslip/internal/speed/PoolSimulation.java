package org.vanillaslip.internal.speed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.vanillaslip.internal.routing.RankedServer;
import org.vanillaslip.internal.routing.ServerRanking;

/**
 * Simulates servers of different speeds and hosts that send them calls, each with its own view.
 * More calls on a server make the gaps between its events longer. Hosts know their own calls now,
 * and the calls of others as well as the speeds from a digest once a second; they report event gaps
 * every 300 ms, here summed up over all hosts.
 */
final class PoolSimulation {

    static final int HOSTS = 60;
    static final int REQUEST_SLOTS = 16;

    /** What a call waits for at a server. */
    enum Engine {
        /** One of the request slots; then its first event takes 100 ms at speed 1. */
        SLOTS(0.1, 0.1),
        /** The prompts of earlier calls, which take 50 to 150 ms each at speed 1. */
        PROMPTS(0.05, 0.15);

        private final double mMinPromptSeconds;
        private final double mMaxPromptSeconds;

        Engine(double minPromptSeconds, double maxPromptSeconds) {
            mMinPromptSeconds = minPromptSeconds;
            mMaxPromptSeconds = maxPromptSeconds;
        }

        double promptSeconds(Random random) {
            return mMinPromptSeconds
                    + random.nextDouble() * (mMaxPromptSeconds - mMinPromptSeconds);
        }

        /**
         * Returns the calls per second of a server of speed 1 at its capacity.
         *
         * @param gapFactor length of gaps at capacity, relative to those of a single call
         */
        double capacity(double gapFactor) {
            double prompt = (mMinPromptSeconds + mMaxPromptSeconds) / 2;
            return this == PROMPTS
                    ? 1 / prompt
                    : REQUEST_SLOTS / (prompt + MEAN_EVENTS * MEAN_GAP_SECONDS * gapFactor);
        }
    }

    /** As in the trials of overload: 40 ms for each of 36 events. */
    private static final int MEAN_EVENTS = 36;

    private static final double MEAN_GAP_SECONDS = 0.04;

    /** The gaps of the two models differ by a factor of 3. */
    private static final double[] MODEL_GAP_SECONDS = {0.02, 0.06};

    /** Slow servers meet it without waiting. */
    private static final double OBJECTIVE_SECONDS = 0.4;

    private static final double REPORT_SECONDS = 0.3;
    private static final double DIGEST_SECONDS = 1;

    /** A host sends no more calls than this to a server that it believes full. */
    private static final double QUEUE_FACTOR = 1.25;

    private static final double RETRY_SECONDS = 0.025;

    private final Engine mEngine;
    private final boolean mMeasured;
    private final double mLoadedGapFactor;
    private final Random mRandom;
    private final double[] mSpeeds;
    private final int[] mRunning;
    private final int[] mUsedSlots;
    private final List<Deque<Runnable>> mQueues = new ArrayList<>();
    private final double[] mPromptsDoneAt;
    private final int[][] mOwn = new int[HOSTS][];
    private final int[][] mOther = new int[HOSTS][];
    private final double[] mKnownSpeeds;
    private final Map<String, long[]> mGaps = new HashMap<>();
    private final ServerSpeeds mEstimates = new ServerSpeeds();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at));
    private final List<double[]> mSpeedHistory = new ArrayList<>();
    private final int[] mCalls;
    private final int[] mLate;
    private double mNow;

    private record Event(double at, Runnable run) {}

    /**
     * Creates a pool without calls.
     *
     * @param loadedGapFactor how much longer gaps are when all request slots are in use; 0 if the
     *     number of calls does not change them
     */
    PoolSimulation(
            Engine engine, boolean measured, double loadedGapFactor, long seed, double... speeds) {
        mEngine = engine;
        mMeasured = measured;
        mLoadedGapFactor = loadedGapFactor;
        mRandom = new Random(seed);
        mSpeeds = speeds.clone();
        mRunning = new int[speeds.length];
        mUsedSlots = new int[speeds.length];
        mPromptsDoneAt = new double[speeds.length];
        mKnownSpeeds = new double[speeds.length];
        mCalls = new int[speeds.length];
        mLate = new int[speeds.length];
        Arrays.fill(mKnownSpeeds, 1);
        for (int host = 0; host < HOSTS; host++) {
            mOwn[host] = new int[speeds.length];
            mOther[host] = new int[speeds.length];
        }
        for (int server = 0; server < speeds.length; server++) {
            mQueues.add(new ArrayDeque<>());
        }
    }

    /** Simulates the time, with calls that use this part of the servers' capacity. */
    void run(double seconds, double load) {
        double end = mNow + seconds;
        double capacity =
                Arrays.stream(mSpeeds).sum() * mEngine.capacity(1 + mLoadedGapFactor * load);
        scheduleCall(load * capacity, end);
        repeat(REPORT_SECONDS, end, this::report);
        repeat(DIGEST_SECONDS, end, this::sendDigest);
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.run().run();
        }
        mNow = end;
    }

    void resetCounts() {
        Arrays.fill(mCalls, 0);
        Arrays.fill(mLate, 0);
        mSpeedHistory.clear();
    }

    /** Returns the part of the first events of these servers that are late. */
    double lateFraction(int... servers) {
        int calls = Arrays.stream(servers).map(server -> mCalls[server]).sum();
        int late = Arrays.stream(servers).map(server -> mLate[server]).sum();
        return (double) late / calls;
    }

    int calls(int server) {
        return mCalls[server];
    }

    /** Returns the speeds of a server in all digests. */
    double[] speedHistory(int server) {
        return mSpeedHistory.stream().mapToDouble(speeds -> speeds[server]).toArray();
    }

    private void at(double time, Runnable run) {
        mEvents.add(new Event(time, run));
    }

    private void repeat(double interval, double end, Runnable task) {
        for (double time = mNow + interval; time <= end; time += interval) {
            at(time, task);
        }
    }

    private void scheduleCall(double callsPerSecond, double end) {
        double time = mNow - Math.log(1 - mRandom.nextDouble()) / callsPerSecond;
        if (time > end) {
            return;
        }
        at(
                time,
                () -> {
                    sendCall(mRandom.nextInt(HOSTS), mNow);
                    scheduleCall(callsPerSecond, end);
                });
    }

    private void sendCall(int host, double arrivedAt) {
        List<RankedServer> servers = new ArrayList<>();
        for (int server = 0; server < mSpeeds.length; server++) {
            int inUse = mOwn[host][server] + mOther[host][server];
            if (inUse < REQUEST_SLOTS * QUEUE_FACTOR) {
                servers.add(rankedServer(server, inUse));
            }
        }
        ServerRanking.best(servers, HOSTS, mRandom)
                .ifPresentOrElse(
                        choice -> send(host, Integer.parseInt(choice.instance()), arrivedAt),
                        () -> at(mNow + RETRY_SECONDS, () -> sendCall(host, arrivedAt)));
    }

    private RankedServer rankedServer(int server, int inUse) {
        return new RankedServer(
                Integer.toString(server),
                inUse,
                REQUEST_SLOTS,
                true,
                false,
                false,
                mKnownSpeeds[server]);
    }

    private void send(int host, int server, double arrivedAt) {
        mRunning[server]++;
        mOwn[host][server]++;
        if (mEngine == Engine.SLOTS && mUsedSlots[server] >= REQUEST_SLOTS) {
            mQueues.get(server).add(() -> begin(host, server, arrivedAt));
        } else {
            begin(host, server, arrivedAt);
        }
    }

    private void begin(int host, int server, double arrivedAt) {
        mUsedSlots[server]++;
        double earliest = mEngine == Engine.PROMPTS ? Math.max(mNow, mPromptsDoneAt[server]) : mNow;
        double firstEventAt = earliest + mEngine.promptSeconds(mRandom) / mSpeeds[server];
        mPromptsDoneAt[server] = firstEventAt;
        mCalls[server]++;
        if (firstEventAt - arrivedAt > OBJECTIVE_SECONDS) {
            mLate[server]++;
        }
        int model = mRandom.nextInt(MODEL_GAP_SECONDS.length);
        double seconds = -Math.log(1 - mRandom.nextDouble()) * MEAN_EVENTS * MEAN_GAP_SECONDS;
        int gaps = (int) Math.round(seconds / MODEL_GAP_SECONDS[model]);
        at(firstEventAt, () -> sendEvents(host, server, model, gaps));
    }

    private void sendEvents(int host, int server, int model, int gaps) {
        if (gaps == 0) {
            end(host, server);
            return;
        }
        double load = Math.min(1, (double) mUsedSlots[server] / REQUEST_SLOTS);
        double gap =
                MODEL_GAP_SECONDS[model]
                        * (0.7 + 0.6 * mRandom.nextDouble())
                        * (1 + mLoadedGapFactor * load)
                        / mSpeeds[server];
        at(
                mNow + gap,
                () -> {
                    long[] sum = mGaps.computeIfAbsent(server + "/" + model, name -> new long[2]);
                    sum[0]++;
                    sum[1] += Math.round(gap * 1e6);
                    sendEvents(host, server, model, gaps - 1);
                });
    }

    private void end(int host, int server) {
        mRunning[server]--;
        mOwn[host][server]--;
        mUsedSlots[server]--;
        Runnable next = mQueues.get(server).poll();
        if (next != null) {
            next.run();
        }
    }

    private long nowNanos() {
        return Math.round(mNow * 1e9);
    }

    private void report() {
        mGaps.forEach(
                (source, sum) -> {
                    String[] names = source.split("/");
                    mEstimates.record(server(names[0]), names[1], sum[0], sum[1] / 1e3, nowNanos());
                });
        mGaps.clear();
    }

    private static MeasuredServer server(String instance) {
        return new MeasuredServer("pool", instance, 1);
    }

    private void sendDigest() {
        mEstimates.update(nowNanos());
        for (int server = 0; server < mSpeeds.length; server++) {
            if (mMeasured) {
                mKnownSpeeds[server] =
                        mEstimates.speed(server(Integer.toString(server))).orElse(1.0);
            }
            for (int host = 0; host < HOSTS; host++) {
                mOther[host][server] = mRunning[server] - mOwn[host][server];
            }
        }
        mSpeedHistory.add(mKnownSpeeds.clone());
    }
}
