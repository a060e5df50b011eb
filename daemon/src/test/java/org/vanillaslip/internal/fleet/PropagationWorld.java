package org.vanillaslip.internal.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.changes.RelayedStore;
import org.vanillaslip.internal.control.configuration.CollectionFollower;
import org.vanillaslip.internal.peer.RelaySimulation;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.serving.ServingPlan;

/** Hosts in three failure domains, and 45 servers whose entries change now and then. */
final class PropagationWorld {

    static final String COLLECTION = "servers";

    static final int HOSTS = 66;

    static final int SERVERS = 45;

    static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

    static final Duration STARTUP_TIME = Duration.ofSeconds(14);

    /** Above the longest pause of a watch in any deployment. */
    static final Duration WATCH_PAUSE = Duration.ofMillis(1392);

    final RelaySimulation mHosts;
    final SimulatedStore mStore;
    final Map<String, SimulatedStore.Access> mAccess = new LinkedHashMap<>();
    final Map<String, HealthTrackingObjectStore> mHealth = new LinkedHashMap<>();
    final Map<String, FleetDirectory> mDirectories = new LinkedHashMap<>();
    final Random mRandom;

    PropagationWorld(long seed) {
        this(seed, HOSTS, WATCH_PAUSE);
    }

    PropagationWorld(long seed, int hosts, Duration watchPause) {
        mHosts = new RelaySimulation(hosts, 3, seed);
        mRandom = new Random(seed);
        mStore = new SimulatedStore(mHosts.loop().scheduler(), watchPause);
        IntStream.range(0, SERVERS)
                .forEach(server -> mStore.put(COLLECTION, "server-" + server, entry(false, 1)));
        mHosts.hosts().forEach(this::start);
        mHosts.advanceTime(STARTUP_TIME);
    }

    private void start(SimulatedHost host) {
        SimulatedStore.Access access = mStore.new Access();
        StoreAnswerHistory answers = new StoreAnswerHistory();
        HealthTrackingObjectStore health =
                new HealthTrackingObjectStore(
                        access, answers, mHosts.loop(), (event, fields) -> {});
        RelayedStore store =
                new RelayedStore(
                        health,
                        answers,
                        host.network(),
                        host.relayedLinks(),
                        mHosts.loop(),
                        (event, fields) -> {});
        store.start();
        FleetDirectory directory =
                new FleetDirectory(
                        new ServerCollection(),
                        new DrainFollower(
                                new ServerCollection(), mHosts.loop(), (event, fields) -> {}),
                        mHosts.loop(),
                        answers,
                        (event, fields) -> {});
        new CollectionFollower(
                        store,
                        COLLECTION,
                        mHosts.loop(),
                        new Random(host.name().hashCode()),
                        (event, fields) -> {},
                        directory,
                        MAX_RETRY_DELAY)
                .start();
        mAccess.put(host.name(), access);
        mHealth.put(host.name(), health);
        mDirectories.put(host.name(), directory);
    }

    void announce(String server) {
        mStore.put(COLLECTION, server, entry(true, 1));
    }

    /** Lets one read of the host fail, as after a lost packet. */
    void failOneCall(String host) {
        mAccess.get(host).setTreatment(SimulatedStore.Treatment.REFUSED);
        mHealth.get(host).read("control-shards", "fleet").subscribe();
        mHosts.advanceTime(Duration.ofMillis(5));
        mAccess.get(host).setTreatment(SimulatedStore.Treatment.ANSWERED);
        mHealth.get(host).read("control-shards", "fleet").subscribe();
    }

    void treat(SimulatedHost host, SimulatedStore.Treatment treatment) {
        mAccess.get(host.name()).setTreatment(treatment);
    }

    void run(Duration time) {
        mHosts.advanceTime(time);
    }

    /** Advances the time while entries of other servers change about five times a second. */
    void runWithOtherChanges(Duration time) {
        Duration left = time;
        while (left.compareTo(Duration.ZERO) > 0) {
            Duration step = Duration.ofMillis(Math.min(left.toMillis(), mRandom.nextInt(400)));
            mHosts.advanceTime(step);
            left = left.minus(step);
            String server = "server-" + (1 + mRandom.nextInt(SERVERS - 1));
            mStore.put(COLLECTION, server, entry(false, 1));
        }
    }

    List<SimulatedHost> relaysOf(String domain) {
        return mHosts.relays().stream()
                .filter(relay -> relay.domain().name().equals(domain))
                .toList();
    }

    /** Returns the running hosts that would still send calls to the server. */
    List<String> hostsSendingTo(String server) {
        return mHosts.runningHosts().stream()
                .map(SimulatedHost::name)
                .filter(
                        host ->
                                mDirectories.get(host).inService("pool").stream()
                                        .anyMatch(member -> member.instance().equals(server)))
                .toList();
    }

    static ObjectNode entry(boolean leaving, long startedAt) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("leaving", leaving)
                .put("startedAt", startedAt);
    }

    /** Decodes the entries of the simulated servers. */
    private static final class ServerCollection implements ServingCollections {

        @Override
        public String plans() {
            return "plans";
        }

        @Override
        public Optional<Either<String, ServingPlan>> plan(StoredObject object) {
            return Optional.empty();
        }

        @Override
        public String servers() {
            return COLLECTION;
        }

        @Override
        public Either<String, RegisteredServer> server(StoredObject object) {
            return Either.right(
                    new RegisteredServer(
                            object.name(),
                            object.spec().path("startedAt").asLong(),
                            "pool",
                            object.name(),
                            new FailureDomain("d0"),
                            32,
                            object.spec().path("leaving").asBoolean(),
                            OptionalLong.empty(),
                            0,
                            ServerModelState.EMPTY));
        }

        @Override
        public String drains() {
            return "drains";
        }

        @Override
        public FailureDomain drained(StoredObject object) {
            return new FailureDomain(object.name());
        }
    }
}
