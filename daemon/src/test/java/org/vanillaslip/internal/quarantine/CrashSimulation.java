package org.vanillaslip.internal.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.peer.RelaySimulation;

/**
 * Hosts that share six servers, in virtual time. Calls with one part crash the server, and so do
 * certain calls that come again and again.
 */
final class CrashSimulation {

    static final String CRASHING_PART = "bad";

    private static final String CRASHING_CALL = "crashing";

    private static final int SERVERS = 6;
    private static final int SOUND_SHARED_PARTS = 3;
    private static final int SOUND_SESSION_PARTS = 40;
    private static final int MAX_SENDS = 2;
    private static final long ANSWER_MILLIS = 60;
    private static final long ANSWER_SPREAD_MILLIS = 60;
    private static final long RESTART_MILLIS = 4000;
    private static final long RETRY_MILLIS = 5;

    private final RelaySimulation mNetwork;
    private final SplittableRandom mRandom;
    private final OneObjectStore mStore = new OneObjectStore();
    private final List<PromptFaultExchange> mHosts = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final List<Long> mCrashTimes = new ArrayList<>();
    private final List<Long> mCrashingSendTimes = new ArrayList<>();
    private final Map<String, List<Long>> mSendTimesByCall = new HashMap<>();
    private final Map<String, List<Long>> mCrashTimesByCall = new HashMap<>();
    private final Set<String> mQuarantined = new TreeSet<>();
    private final Set<String> mHostsInformed = new TreeSet<>();
    private int mCallCount;
    private int mSoundRefused;

    CrashSimulation(int hosts, int domains, long seed) {
        mNetwork = new RelaySimulation(hosts, domains, seed);
        mRandom = new SplittableRandom(seed);
        for (RelaySimulation.SimulatedHost host : mNetwork.hosts()) {
            PromptFaultExchange exchange =
                    new PromptFaultExchange(
                            host.relayedLinks(),
                            new QuarantineRecord(
                                    mStore,
                                    () -> Instant.EPOCH.plusNanos(now()),
                                    mNetwork.loop(),
                                    (event, fields) -> {}),
                            server -> Optional.empty(),
                            mNetwork.loop(),
                            mRandom.split(),
                            (event, fields) -> {});
            int index = mHosts.size();
            exchange.onQuarantine(
                    (subject, refusal) -> {
                        mQuarantined.add(subject);
                        mHostsInformed.add(subject + " at " + index);
                    });
            exchange.start();
            mHosts.add(exchange);
        }
        for (int server = 0; server < SERVERS; server++) {
            mServers.add(new Server("s" + server));
        }
    }

    private static final class Server {
        private final String mName;
        private final List<Run> mRuns = new ArrayList<>();
        private int mStarts;
        private boolean mRunning = true;

        Server(String name) {
            mName = name;
        }
    }

    /**
     * A call at a host.
     *
     * @param subject the call and its repetitions
     */
    private record Call(PromptFaultExchange host, String subject, List<String> parts, int sends) {
        boolean crashes() {
            return parts.contains(CRASHING_PART) || subject.contains(CRASHING_CALL);
        }

        List<String> subjects() {
            return Stream.concat(Stream.of(subject), parts.stream()).toList();
        }
    }

    /** A run of a call at a server; two runs of the same call are different. */
    private static final class Run {
        private final Call mCall;
        private final boolean mSentAfterCrash;

        Run(Call call, boolean sentAfterCrash) {
            mCall = call;
            mSentAfterCrash = sentAfterCrash;
        }

        Call call() {
            return mCall;
        }

        boolean sentAfterCrash() {
            return mSentAfterCrash;
        }
    }

    /** Lets sound calls arrive at random hosts. */
    void startSoundCalls(Duration interval) {
        every(interval, this::submitSoundCall);
    }

    /** Lets calls with the crashing part arrive at random hosts. */
    void startCrashingCalls(Duration interval) {
        every(interval, () -> submit(List.of(sharedPart(), CRASHING_PART)));
    }

    /** Lets a call that crashes its server come again at random hosts; returns its subject. */
    String startRepeatedCrashingCall(int number, Duration interval) {
        String subject = CallSubject.of(CRASHING_CALL + number);
        every(interval, () -> submit(subject, List.of()));
        return subject;
    }

    /** Lets a sound call come again at random hosts, several times at once. */
    void startRepeatedSoundCall(int callsAtOnce, Duration interval) {
        every(
                interval,
                () -> {
                    for (int call = 0; call < callsAtOnce; call++) {
                        submit(CallSubject.of("sound"), List.of());
                    }
                });
    }

    /** Crashes one server after the other. */
    void startSeriesOfCrashes(int crashes, Duration interval) {
        for (int crash = 0; crash < crashes; crash++) {
            Server server = mServers.get(crash % SERVERS);
            after(interval.toMillis() * crash, () -> crash(server));
        }
    }

    /** Crashes a random server again and again, whatever it runs. */
    void startRandomCrashes(Duration interval) {
        every(interval, () -> crash(mServers.get(mRandom.nextInt(SERVERS))));
    }

    /** Crashes all servers at once. */
    void crashAllServers() {
        mServers.forEach(this::crash);
    }

    void advance(Duration time) {
        mNetwork.advanceTime(time);
    }

    int crashCount() {
        return mCrashTimes.size();
    }

    /** Returns how many calls with the part were sent later than the time after the fifth crash. */
    long crashingSendsAfterFifthCrash(Duration time) {
        if (mCrashTimes.size() < 5) {
            return 0;
        }
        long from = mCrashTimes.get(4) + time.toNanos();
        return mCrashingSendTimes.stream().filter(sent -> sent > from).count();
    }

    /** Returns how many times the call was sent later than the time after its third crash. */
    long sendsAfterThirdCrash(String call, Duration time) {
        List<Long> crashes = mCrashTimesByCall.getOrDefault(call, List.of());
        if (crashes.size() < 3) {
            return 0;
        }
        long from = crashes.get(2) + time.toNanos();
        return mSendTimesByCall.get(call).stream().filter(sent -> sent > from).count();
    }

    Set<String> quarantinedParts() {
        return mQuarantined;
    }

    int storeWrites() {
        return mStore.writeCount();
    }

    int informedHosts() {
        return mHostsInformed.size();
    }

    int soundCallsRefused() {
        return mSoundRefused;
    }

    private void submitSoundCall() {
        submit(List.of(sharedPart(), "session" + mRandom.nextInt(SOUND_SESSION_PARTS)));
    }

    private String sharedPart() {
        return "shared" + mRandom.nextInt(SOUND_SHARED_PARTS);
    }

    private void submit(List<String> parts) {
        submit(CallSubject.of("c" + mCallCount++), parts);
    }

    private void submit(String subject, List<String> parts) {
        PromptFaultExchange host = mHosts.get(mRandom.nextInt(mHosts.size()));
        send(new Call(host, subject, parts, 0));
    }

    private void send(Call call) {
        try {
            call.host().checkParts(call.subjects());
        } catch (RefusedException refused) {
            mSoundRefused += call.crashes() ? 0 : 1;
            return;
        }
        List<Server> running = mServers.stream().filter(server -> server.mRunning).toList();
        if (running.isEmpty()) {
            return;
        }
        Server server = running.get(mRandom.nextInt(running.size()));
        Call sent = new Call(call.host(), call.subject(), call.parts(), call.sends() + 1);
        boolean sentAfterCrash = call.host().hasCrashes(call.subject());
        Run run = new Run(sent, sentAfterCrash);
        server.mRuns.add(run);
        mSendTimesByCall.computeIfAbsent(call.subject(), added -> new ArrayList<>()).add(now());
        if (call.crashes()) {
            mCrashingSendTimes.add(now());
        }
        int start = server.mStarts;
        after(
                ANSWER_MILLIS + mRandom.nextLong(ANSWER_SPREAD_MILLIS),
                () -> {
                    if (server.mStarts == start && server.mRuns.remove(run)) {
                        answer(server, run);
                    }
                });
    }

    private void answer(Server server, Run run) {
        Call call = run.call();
        if (call.crashes()) {
            server.mRuns.add(run);
            mCrashTimesByCall
                    .computeIfAbsent(call.subject(), added -> new ArrayList<>())
                    .add(now());
            crash(server);
        } else {
            call.host().recordAnswer(call.subjects());
        }
    }

    private void crash(Server server) {
        if (!server.mRunning) {
            return;
        }
        String startId = server.mName + "@" + server.mStarts;
        server.mRunning = false;
        server.mStarts++;
        mCrashTimes.add(now());
        List<Run> unanswered = List.copyOf(server.mRuns);
        server.mRuns.clear();
        for (Run run : unanswered) {
            Call call = run.call();
            call.host()
                    .recordUnanswered(
                            call.subject(),
                            new UnansweredCall(
                                    startId,
                                    server.mName,
                                    call.subject(),
                                    call.subjects(),
                                    run.sentAfterCrash()));
            if (call.sends() < MAX_SENDS) {
                after(RETRY_MILLIS, () -> send(call));
            }
        }
        after(RESTART_MILLIS, () -> server.mRunning = true);
    }

    private void every(Duration interval, Runnable task) {
        mNetwork.loop()
                .scheduler()
                .schedulePeriodically(
                        task, interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void after(long millis, Runnable task) {
        mNetwork.loop().scheduler().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private long now() {
        return mNetwork.loop().clock().nowNanos();
    }
}
