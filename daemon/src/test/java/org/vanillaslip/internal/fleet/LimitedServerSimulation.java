package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.RelaySimulation;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import reactor.core.publisher.Mono;

/** Hosts that send calls to one server, which can name a limit, in virtual time. */
final class LimitedServerSimulation {

    private static final CallTarget TARGET = new CallTarget("pool", Optional.empty());
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration CALL_TIME = Duration.ofMillis(20);
    private static final long TOLD_NANOS = Duration.ofMillis(500).toNanos();
    private static final long CONTACT_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();

    private static final EngineControl NO_ENGINES =
            new EngineControl() {
                @Override
                public Mono<OrderAnswer> sendOrder(
                        RegisteredServer server, EngineOrder order, BooleanSupplier permitted) {
                    return Mono.just(OrderAnswer.REFUSED);
                }

                @Override
                public Mono<Either<String, ServerLoadReport>> requestReport(
                        RegisteredServer server) {
                    return Mono.just(Either.left("The server has no model engine."));
                }
            };

    /** The parts of one host that keep to limits. */
    private record Sender(
            FleetDirectory directory, ServerLimitExchange limits, WaitingCallQueue queue) {}

    private final RelaySimulation mWorld;
    private final Random mRandom = new Random(1);
    private final Map<String, Sender> mSenders = new HashMap<>();

    /** Time at which each host first passed on an answer with a limit since its start. */
    private final Map<String, Long> mToldAt = new HashMap<>();

    private final List<Long> mArrivals = new ArrayList<>();
    private final List<Long> mCountedArrivals = new ArrayList<>();
    private OptionalDouble mLimit = OptionalDouble.empty();
    private OptionalLong mNamedAt = OptionalLong.empty();
    private int mRefused;
    Duration mMaxWait = Duration.ofSeconds(1);

    LimitedServerSimulation(int hosts, int domains) {
        mWorld = new RelaySimulation(hosts, domains, 1);
        mWorld.hosts().forEach(this::startSender);
        mWorld.advanceTime(Duration.ofSeconds(10));
    }

    RelaySimulation world() {
        return mWorld;
    }

    void addHost(String name, String domain) {
        startSender(mWorld.addHost(name, domain));
    }

    void restart(SimulatedHost host) {
        mWorld.restart(host);
        mToldAt.remove(host.name());
        startSender(host);
    }

    /** Makes a host lack the server in its list. */
    void removeFromList(SimulatedHost host) {
        Optional.ofNullable(mSenders.get(host.name()))
                .orElseThrow()
                .directory()
                .listed(new ObjectList(2, List.of()));
    }

    void setLimit(double requestsPerSecond) {
        mLimit = OptionalDouble.of(requestsPerSecond);
    }

    void endLimit() {
        mLimit = OptionalDouble.empty();
    }

    /** Lets all hosts call the server at the given rate together. */
    void run(Duration time, double callsPerSecond) {
        run(time, callsPerSecond, Integer.MAX_VALUE);
    }

    /** Lets the first hosts call the server at the given rate together. */
    void run(Duration time, double callsPerSecond, int callingHosts) {
        double callsPerStep = callsPerSecond * STEP.toMillis() / 1000;
        for (long step = 0; step < time.toMillis() / STEP.toMillis(); step++) {
            mWorld.advanceTime(STEP);
            List<SimulatedHost> running = mWorld.runningHosts();
            double calls = callsPerStep;
            while (mRandom.nextDouble() < calls) {
                calls--;
                int host = mRandom.nextInt(Math.min(callingHosts, running.size()));
                call(running.get(host).name());
            }
        }
    }

    int arrivals() {
        return mArrivals.size();
    }

    int refused() {
        return mRefused;
    }

    boolean isLimitedOnAllHosts() {
        return mWorld.runningHosts().stream().allMatch(host -> server(host).limit().isLimited());
    }

    boolean isLimitedOnAnyHost() {
        return mWorld.runningHosts().stream().anyMatch(host -> server(host).limit().isLimited());
    }

    /**
     * Returns the most requests in 4 s, from 3 s after the first answer with a limit, of hosts that
     * had passed on such an answer half a second before or knew of the limit from others.
     */
    int largestWindow() {
        long from = mNamedAt.orElseThrow() + CONTACT_NANOS;
        List<Long> counted = mCountedArrivals.stream().filter(at -> at >= from).toList();
        int largest = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) >= WINDOW_NANOS) {
                first++;
            }
            largest = Math.max(largest, last - first + 1);
        }
        return largest;
    }

    private FleetMember server(SimulatedHost host) {
        return Optional.ofNullable(mSenders.get(host.name()))
                .flatMap(sender -> sender.directory().member("s1"))
                .orElseThrow();
    }

    private void startSender(SimulatedHost host) {
        ServingCollections collections = new PlainServers();
        FleetDirectory directory =
                new FleetDirectory(
                        collections,
                        new DrainFollower(collections, mWorld.loop(), (event, fields) -> {}),
                        mWorld.loop(),
                        new StoreAnswerHistory(),
                        (event, fields) -> {});
        directory.listed(
                new ObjectList(
                        1,
                        List.of(
                                new StoredObject(
                                        "servers",
                                        "s1",
                                        1,
                                        JsonNodeFactory.instance.objectNode()))));
        ServerLimitExchange limits =
                new ServerLimitExchange(
                        directory,
                        host.network(),
                        host.relayedLinks(),
                        mWorld.loop(),
                        new DaemonMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT)),
                        (event, fields) -> {});
        limits.start(NO_ENGINES);
        WaitingCallQueue queue =
                new WaitingCallQueue(
                        new ServerSelector(
                                directory,
                                Optional::empty,
                                host.domain(),
                                () -> 1,
                                limits.permits(),
                                mWorld.loop(),
                                new Random(1)),
                        mWorld.loop(),
                        100);
        mSenders.put(host.name(), new Sender(directory, limits, queue));
    }

    private void call(String host) {
        Sender sender = Optional.ofNullable(mSenders.get(host)).orElseThrow();
        long deadline = now() + mMaxWait.toNanos();
        sender.queue()
                .awaitSlot(
                        new ServerRequest(
                                "c", TARGET, List.of(), List.of(), Optional.empty(), Set.of()),
                        new WaitBounds(1, deadline, deadline, false))
                .subscribe(slot -> send(host, sender, slot), error -> mRefused++);
    }

    private void send(String host, Sender sender, RequestSlot slot) {
        long sentAt = now();
        mArrivals.add(sentAt);
        boolean told = sentAt - mToldAt.getOrDefault(host, sentAt) >= TOLD_NANOS;
        if (told || slot.server().limit().isLimited()) {
            mCountedArrivals.add(sentAt);
        }
        ServerNotice notice =
                mLimit.isPresent()
                        ? ServerNotice.limit(mLimit.getAsDouble())
                        : ServerNotice.NO_LIMIT;
        mWorld.loop()
                .scheduler()
                .schedule(
                        () -> {
                            slot.release();
                            sender.limits().notices().record(slot.server(), notice, sentAt);
                            if (notice.requestsPerSecond().isPresent()) {
                                mToldAt.putIfAbsent(host, now());
                                mNamedAt = OptionalLong.of(mNamedAt.orElse(now()));
                            }
                        },
                        CALL_TIME.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private long now() {
        return mWorld.loop().clock().nowNanos();
    }
}
