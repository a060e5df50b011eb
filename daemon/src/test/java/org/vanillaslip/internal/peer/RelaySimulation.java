package org.vanillaslip.internal.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.FleetDigest;
import org.vanillaslip.messages.Heartbeat;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Simulates hosts that share one host list and communicate over relays, in virtual time. */
public final class RelaySimulation {

    private static final long TICK_MILLIS = 1000;
    private static final long MIN_DELAY_MICROS = 600;
    private static final long DELAY_SPREAD_MICROS = 3000;

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final Map<String, SimulatedHost> mHosts = new LinkedHashMap<>();
    private final List<Host> mHostList = new ArrayList<>();

    /** Pairs of linked hosts, each with the host that opened the link. */
    private final Map<Set<String>, String> mInitiatorsByLink = new HashMap<>();

    private final SplittableRandom mRandom;
    private BiPredicate<SimulatedHost, SimulatedHost> mReachability = (first, peer) -> true;
    private Duration mListDelay = Duration.ZERO;
    private long mMessageCount;
    private long mByteCount;

    /** Creates a simulation with hosts that are spread evenly over the failure domains. */
    public RelaySimulation(int hosts, int domains, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int index = 0; index < hosts; index++) {
            addHost(String.format("h%03d", index), "d" + index % domains);
        }
    }

    /**
     * Direct links of one process; they are silent once another process of the host has started.
     */
    private final class ProcessLinks implements PeerLinks {
        private final SimulatedHost mProcessHost;
        private final PeerExchange mProcessExchange;

        ProcessLinks(SimulatedHost host, PeerExchange exchange) {
            mProcessHost = host;
            mProcessExchange = exchange;
        }

        @Override
        public Mono<Either<PeerFailure, Envelope>> request(
                String host, Envelope.Builder request, Duration timeout) {
            return mProcessExchange.request(host, request, timeout);
        }

        @Override
        public void send(String host, Envelope.Builder message) {
            mProcessExchange.send(host, message);
        }

        @Override
        public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
            mProcessExchange.handle(bodyCase, handler);
        }

        @Override
        public Set<String> liveHosts() {
            return mProcessExchange.liveHosts();
        }

        @Override
        public Set<String> linkedHosts() {
            return mProcessExchange.liveHosts().stream()
                    .filter(
                            host ->
                                    mInitiatorsByLink.containsKey(
                                            Set.of(host, mProcessHost.name())))
                    .collect(Collectors.toSet());
        }
    }

    /** A simulated host. */
    public final class SimulatedHost {
        private final Host mHost;
        private RelayNetwork mNetwork;
        private RelayedLinks mRelayedLinks;
        private PeerExchange mExchange;
        private boolean mStopped;
        private boolean mHasReadList;

        SimulatedHost(Host host) {
            mHost = host;
            start();
        }

        private void start() {
            String incarnation = "i" + mRandom.nextLong();
            mHasReadList = false;
            PeerExchange[] own = new PeerExchange[1];
            PeerExchange exchange =
                    new PeerExchange(
                            mHost.name(),
                            incarnation,
                            mLoop,
                            (to, message) -> own[0] == mExchange && transmit(this, to, message),
                            mRandom.nextLong() >>> 1,
                            PeerTimes.DEFAULT.silenceTimeout());
            own[0] = exchange;
            mExchange = exchange;
            mNetwork =
                    new RelayNetwork(
                            mHost,
                            () -> mHasReadList ? mHostList : List.of(),
                            mLoop.clock(),
                            (event, fields) -> {});
            mRelayedLinks =
                    new RelayedLinks(
                            mHost.name(),
                            incarnation,
                            new ProcessLinks(this, exchange),
                            mNetwork,
                            mLoop,
                            (event, fields) -> {});
            mRelayedLinks.start();
            if (mListDelay.isZero()) {
                mHasReadList = true;
            } else {
                mScheduler.schedule(
                        () -> readList(exchange), mListDelay.toMillis(), TimeUnit.MILLISECONDS);
            }
        }

        /** Links to the listed hosts at once, as a host does that has read the list. */
        private void readList(PeerExchange exchange) {
            if (exchange == mExchange && !mStopped) {
                mHasReadList = true;
                mRelayedLinks.refresh();
                tick();
            }
        }

        public String name() {
            return mHost.name();
        }

        public FailureDomain domain() {
            return mHost.failureDomain();
        }

        public RelayNetwork network() {
            return mNetwork;
        }

        /** Returns the links over relays. */
        public PeerLinks relayedLinks() {
            return mRelayedLinks;
        }

        /**
         * Opens and closes links and sends heartbeats, as {@link NettyPeerLinks} does every second.
         */
        private void tick() {
            if (mStopped || !mHasReadList) {
                return;
            }
            RelaySimulation.this.mInitiatorsByLink.entrySet().removeIf(this::isUnneeded);
            for (Host host : mHostList) {
                boolean missing =
                        !host.name().equals(name())
                                && !RelaySimulation.this.mInitiatorsByLink.containsKey(
                                        Set.of(host.name(), name()));
                if (missing && mNetwork.shouldOpen(host)) {
                    open(this, host.name());
                }
            }
            for (String peer : peers(name())) {
                mExchange.send(
                        peer, Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            }
            mExchange.updateLiveHosts();
        }

        private boolean isUnneeded(Map.Entry<Set<String>, String> link) {
            return link.getValue().equals(name())
                    && link.getKey().stream()
                            .anyMatch(peer -> !peer.equals(name()) && !mNetwork.shouldKeep(peer));
        }
    }

    /** Adds a host to the host list and starts it. */
    public SimulatedHost addHost(String name, String domain) {
        Host host = new Host(name, new FailureDomain(domain), "", false);
        mHostList.add(host);
        SimulatedHost simulatedHost = new SimulatedHost(host);
        mHosts.put(name, simulatedHost);
        mScheduler.schedulePeriodically(
                simulatedHost::tick, mRandom.nextInt(1000), TICK_MILLIS, TimeUnit.MILLISECONDS);
        return simulatedHost;
    }

    public DecisionLoop loop() {
        return mLoop;
    }

    public List<SimulatedHost> hosts() {
        return List.copyOf(mHosts.values());
    }

    public List<SimulatedHost> runningHosts() {
        return mHosts.values().stream().filter(simulatedHost -> !simulatedHost.mStopped).toList();
    }

    public List<SimulatedHost> relays() {
        return runningHosts().stream()
                .filter(simulatedHost -> simulatedHost.network().isRelay())
                .toList();
    }

    /** Stops a host without a shutdown; its links are closed. */
    public void crash(SimulatedHost simulatedHost) {
        simulatedHost.mStopped = true;
        mInitiatorsByLink.keySet().removeIf(link -> link.contains(simulatedHost.name()));
    }

    /** Starts a crashed host again, without any state. */
    public void restart(SimulatedHost simulatedHost) {
        simulatedHost.mStopped = false;
        simulatedHost.start();
    }

    /** Suspends a host; its links stay open but silent. */
    public void suspend(SimulatedHost simulatedHost) {
        simulatedHost.mStopped = true;
    }

    /** Sets the time that hosts which start from now on need to read the host list. */
    public void setListDelay(Duration delay) {
        mListDelay = delay;
    }

    /** Removes a host from the list that all hosts read. */
    public void removeFromList(SimulatedHost simulatedHost) {
        mHostList.removeIf(host -> host.name().equals(simulatedHost.name()));
    }

    /** Restricts which pairs of hosts can reach each other. */
    public void setReachability(BiPredicate<SimulatedHost, SimulatedHost> reachability) {
        mReachability = reachability;
    }

    public void advanceTime(Duration time) {
        mScheduler.advanceTimeBy(time);
    }

    /** Broadcasts a message and returns the hosts that receive it within the given time. */
    public Set<String> hostsReachedByBroadcast(SimulatedHost sender, Duration time) {
        Set<String> reached = new TreeSet<>();
        for (SimulatedHost simulatedHost : hosts()) {
            simulatedHost
                    .relayedLinks()
                    .handle(
                            Envelope.BodyCase.FLEET_DIGEST,
                            message -> {
                                reached.add(simulatedHost.name());
                                return Mono.empty();
                            });
        }
        advanceTime(Duration.ofMillis(1));
        sender.relayedLinks()
                .broadcast(Envelope.newBuilder().setFleetDigest(FleetDigest.getDefaultInstance()));
        advanceTime(time);
        return reached;
    }

    public long messageCount() {
        return mMessageCount;
    }

    public long byteCount() {
        return mByteCount;
    }

    /** Returns the largest number of links of any running host. */
    public int maxLinksPerHost() {
        return runningHosts().stream()
                .mapToInt(simulatedHost -> peers(simulatedHost.name()).size())
                .max()
                .orElse(0);
    }

    /** Returns the number of links of the host. */
    public int linkCount(SimulatedHost simulatedHost) {
        return peers(simulatedHost.name()).size();
    }

    private List<String> peers(String host) {
        return mInitiatorsByLink.keySet().stream()
                .filter(link -> link.contains(host))
                .flatMap(Set::stream)
                .filter(name -> !name.equals(host))
                .sorted()
                .toList();
    }

    private void open(SimulatedHost from, String to) {
        Optional<SimulatedHost> peer = Optional.ofNullable(mHosts.get(to));
        if (peer.filter(
                        simulatedHost ->
                                !simulatedHost.mStopped && mReachability.test(from, simulatedHost))
                .isPresent()) {
            mInitiatorsByLink.put(Set.of(from.name(), to), from.name());
            from.mExchange.send(
                    to, Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            peer.get()
                    .mExchange
                    .send(
                            from.name(),
                            Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
        }
    }

    private boolean transmit(SimulatedHost from, String to, Envelope message) {
        SimulatedHost receiver = mHosts.get(to);
        if (from.mStopped
                || receiver == null
                || !mInitiatorsByLink.containsKey(Set.of(from.name(), to))) {
            return false;
        }
        mMessageCount++;
        mByteCount += message.getSerializedSize();
        PeerExchange exchange = receiver.mExchange;
        long delay = MIN_DELAY_MICROS + mRandom.nextLong(DELAY_SPREAD_MICROS);
        mScheduler.schedule(
                () -> {
                    if (!receiver.mStopped && mReachability.test(from, receiver)) {
                        exchange.receive(message);
                    }
                },
                delay,
                TimeUnit.MICROSECONDS);
        return true;
    }
}
