package org.vanillaslip.internal.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.peer.RelaySimulation;

/** Hosts that share six servers, in virtual time; calls with one part crash the server. */
final class CrashSimulation {

    static final String CRASHING_PART = "bad";

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
    private final Set<String> mQuarantined = new TreeSet<>();
    private final Set<PromptFaultExchange> mHostsInformed = new LinkedHashSet<>();
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
                            mNetwork.loop(),
                            mRandom.split(),
                            (event, fields) -> {});
            exchange.onQuarantine(
                    (part, refusal) -> {
                        mQuarantined.add(part);
                        mHostsInformed.add(exchange);
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
        private final List<Call> mCalls = new ArrayList<>();
        private int mStarts;
        private boolean mRunning = true;

        Server(String name) {
            mName = name;
        }
    }

    private record Call(PromptFaultExchange host, String id, List<String> parts, int sends) {
        boolean crashes() {
            return parts.contains(CRASHING_PART);
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
        PromptFaultExchange host = mHosts.get(mRandom.nextInt(mHosts.size()));
        send(new Call(host, "c" + mCallCount++, parts, 0));
    }

    private void send(Call call) {
        try {
            call.host().checkParts(call.parts());
        } catch (RefusedException refused) {
            mSoundRefused += call.crashes() ? 0 : 1;
            return;
        }
        List<Server> running = mServers.stream().filter(server -> server.mRunning).toList();
        if (running.isEmpty()) {
            return;
        }
        Server server = running.get(mRandom.nextInt(running.size()));
        Call sent = new Call(call.host(), call.id(), call.parts(), call.sends() + 1);
        server.mCalls.add(sent);
        if (call.crashes()) {
            mCrashingSendTimes.add(now());
        }
        int start = server.mStarts;
        after(
                ANSWER_MILLIS + mRandom.nextLong(ANSWER_SPREAD_MILLIS),
                () -> {
                    if (server.mStarts == start && server.mCalls.remove(sent)) {
                        answer(server, sent);
                    }
                });
    }

    private void answer(Server server, Call call) {
        if (call.crashes()) {
            server.mCalls.add(call);
            crash(server);
        } else {
            call.host().recordAnswer(call.parts());
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
        List<Call> unanswered = List.copyOf(server.mCalls);
        server.mCalls.clear();
        for (Call call : unanswered) {
            call.host().recordUnanswered(startId, call.id(), call.parts());
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
