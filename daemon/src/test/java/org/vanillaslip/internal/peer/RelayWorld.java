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

/** Hosts that know one list and reach each other over relays, in virtual time with a seed. */
public final class RelayWorld {

    private static final long TICK_MILLIS = 1000;
    private static final long LEAST_DELAY_MICROS = 600;
    private static final long DELAY_SPREAD_MICROS = 3000;

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create(true);
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final Map<String, Member> mMembers = new LinkedHashMap<>();
    private final List<Host> mListed = new ArrayList<>();

    /** Pairs of linked hosts, with the one that opened the link. */
    private final Map<Set<String>, String> mLinks = new HashMap<>();

    private final SplittableRandom mRandom;
    private BiPredicate<Member, Member> mConnected = (one, other) -> true;
    private long mMessages;
    private long mBytes;

    /** Creates a world with hosts that are spread evenly over failure domains. */
    public RelayWorld(int hosts, int domains, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int index = 0; index < hosts; index++) {
            add(String.format("h%03d", index), "d" + index % domains);
        }
    }

    /** One host. */
    public final class Member implements PeerLinks {
        private final Host mHost;
        private RelayNetwork mNetwork;
        private RelayedLinks mLinks;
        private PeerExchange mExchange;
        private boolean mDead;

        Member(Host host) {
            mHost = host;
            begin();
        }

        private void begin() {
            String incarnation = "i" + mRandom.nextLong();
            mNetwork = new RelayNetwork(mHost, () -> mListed, mLoop.clock(), (event, fields) -> {});
            mExchange =
                    new PeerExchange(
                            mHost.name(),
                            incarnation,
                            mLoop,
                            (to, message) -> transmit(this, to, message),
                            mRandom.nextLong() >>> 1,
                            PeerTimes.DEFAULT.silence());
            mLinks =
                    new RelayedLinks(
                            mHost.name(),
                            incarnation,
                            this,
                            mNetwork,
                            mLoop,
                            (event, fields) -> {});
            mLinks.start();
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
        public PeerLinks links() {
            return mLinks;
        }

        @Override
        public Mono<Either<PeerFailure, Envelope>> request(
                String host, Envelope.Builder request, Duration timeout) {
            return mExchange.request(host, request, timeout);
        }

        @Override
        public void send(String host, Envelope.Builder message) {
            mExchange.send(host, message);
        }

        @Override
        public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
            mExchange.handle(bodyCase, handler);
        }

        @Override
        public Set<String> liveHosts() {
            return mExchange.liveHosts();
        }

        @Override
        public Set<String> linkedHosts() {
            return mExchange.liveHosts().stream()
                    .filter(host -> RelayWorld.this.mLinks.containsKey(Set.of(host, name())))
                    .collect(Collectors.toSet());
        }

        /** Opens and closes links and sends heartbeats, as the links over TCP do each second. */
        private void tick() {
            if (mDead) {
                return;
            }
            RelayWorld.this.mLinks.entrySet().removeIf(this::isUnwanted);
            for (Host host : mListed) {
                boolean missing =
                        !host.name().equals(name())
                                && !RelayWorld.this.mLinks.containsKey(Set.of(host.name(), name()));
                if (missing && mNetwork.opens(host)) {
                    open(this, host.name());
                }
            }
            for (String peer : peers(name())) {
                send(peer, Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            }
            mExchange.refreshLive();
        }

        private boolean isUnwanted(Map.Entry<Set<String>, String> link) {
            return link.getValue().equals(name())
                    && link.getKey().stream()
                            .anyMatch(peer -> !peer.equals(name()) && !mNetwork.keeps(peer));
        }
    }

    /** Adds a host to the list and starts it. */
    public Member add(String name, String domain) {
        Host host = new Host(name, new FailureDomain(domain), "", false);
        mListed.add(host);
        Member member = new Member(host);
        mMembers.put(name, member);
        mScheduler.schedulePeriodically(
                member::tick, mRandom.nextInt(1000), TICK_MILLIS, TimeUnit.MILLISECONDS);
        return member;
    }

    public DecisionLoop loop() {
        return mLoop;
    }

    public List<Member> members() {
        return List.copyOf(mMembers.values());
    }

    public List<Member> live() {
        return mMembers.values().stream().filter(member -> !member.mDead).toList();
    }

    public List<Member> relays() {
        return live().stream().filter(member -> member.network().relay()).toList();
    }

    /** Stops a host without a word; its connections close. */
    public void kill(Member member) {
        member.mDead = true;
        mLinks.keySet().removeIf(link -> link.contains(member.name()));
    }

    /** Suspends a host: its connections stay open and silent. */
    public void freeze(Member member) {
        member.mDead = true;
    }

    /** Lets only the given pairs of hosts reach each other. */
    public void connect(BiPredicate<Member, Member> connected) {
        mConnected = connected;
    }

    public void run(Duration time) {
        mScheduler.advanceTimeBy(time);
    }

    /** Returns the hosts that the message of the sender reaches within the time. */
    public Set<String> reached(Member sender, Duration time) {
        Set<String> reached = new TreeSet<>();
        for (Member member : members()) {
            member.links()
                    .handle(
                            Envelope.BodyCase.FLEET_DIGEST,
                            message -> {
                                reached.add(member.name());
                                return Mono.empty();
                            });
        }
        run(Duration.ofMillis(1));
        sender.links()
                .broadcast(Envelope.newBuilder().setFleetDigest(FleetDigest.getDefaultInstance()));
        run(time);
        return reached;
    }

    public long messages() {
        return mMessages;
    }

    public long bytes() {
        return mBytes;
    }

    /** Returns the largest number of links that one host has. */
    public int mostLinks() {
        return live().stream().mapToInt(member -> peers(member.name()).size()).max().orElse(0);
    }

    /** Returns the number of links of the host. */
    public int links(Member member) {
        return peers(member.name()).size();
    }

    private List<String> peers(String host) {
        return mLinks.keySet().stream()
                .filter(link -> link.contains(host))
                .flatMap(Set::stream)
                .filter(name -> !name.equals(host))
                .sorted()
                .toList();
    }

    private void open(Member from, String to) {
        Optional<Member> other = Optional.ofNullable(mMembers.get(to));
        if (other.filter(member -> !member.mDead && mConnected.test(from, member)).isPresent()) {
            mLinks.put(Set.of(from.name(), to), from.name());
            from.send(to, Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            other.get()
                    .send(
                            from.name(),
                            Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
        }
    }

    private boolean transmit(Member from, String to, Envelope message) {
        Member receiver = mMembers.get(to);
        if (from.mDead || receiver == null || !mLinks.containsKey(Set.of(from.name(), to))) {
            return false;
        }
        mMessages++;
        mBytes += message.getSerializedSize();
        PeerExchange exchange = receiver.mExchange;
        long delay = LEAST_DELAY_MICROS + mRandom.nextLong(DELAY_SPREAD_MICROS);
        mScheduler.schedule(
                () -> {
                    if (!receiver.mDead && mConnected.test(from, receiver)) {
                        exchange.receive(message);
                    }
                },
                delay,
                TimeUnit.MICROSECONDS);
        return true;
    }
}
