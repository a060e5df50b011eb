package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.vanillaslip.internal.changes.RelayedStore;
import org.vanillaslip.internal.control.configuration.CollectionFollower;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.peer.RelaySimulation;
import org.vanillaslip.internal.peer.RelaySimulation.SimulatedHost;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;

/** Hosts in three failure domains that follow three collections, in virtual time. */
final class StoreCallsWorld {

    static final String SERVERS = "servers";
    static final String CONFIGURATION = "config";
    static final String DRAINS = "evacuations";
    static final List<String> COLLECTIONS = List.of(CONFIGURATION, DRAINS, SERVERS);
    static final Duration MAX_TIME = Duration.ofSeconds(20);

    private static final int HOSTS = 16;
    private static final int DOMAINS = 3;
    private static final int CHANGES_OF_SERVERS_PER_SECOND = 5;
    private static final int MEASURED_STEP_MILLIS = 10;

    /** The pause of a deployment with 16 hosts: 600 ms and 12 ms for each host. */
    private static final Duration WATCH_PAUSE = Duration.ofMillis(792);

    final RelaySimulation mHosts;
    final SimulatedStore mStore;
    final Random mRandom;
    private final Map<String, SimulatedStore.Access> mAccess = new LinkedHashMap<>();
    private final Map<String, Set<String>> mKnownByHost = new HashMap<>();
    private final Set<String> mRarelyChanging;
    private int mChangeCount;

    StoreCallsWorld(long seed, Set<String> rarelyChanging) {
        this(seed, rarelyChanging, HOSTS, DOMAINS);
    }

    StoreCallsWorld(long seed, Set<String> rarelyChanging, int hosts, int domains) {
        mRarelyChanging = rarelyChanging;
        mHosts = new RelaySimulation(hosts, domains, seed);
        mRandom = new Random(seed);
        mStore = new SimulatedStore(mHosts.loop().scheduler(), WATCH_PAUSE);
        mHosts.hosts().forEach(this::start);
        mHosts.advanceTime(PropagationWorld.STARTUP_TIME);
    }

    private void start(SimulatedHost host) {
        SimulatedStore.Access access = mStore.new Access();
        StoreAnswerHistory answers = new StoreAnswerHistory();
        RelayedStore store =
                new RelayedStore(
                        new HealthTrackingObjectStore(
                                access, answers, mHosts.loop(), (event, fields) -> {}),
                        answers,
                        mRarelyChanging,
                        host.network(),
                        host.relayedLinks(),
                        mHosts.loop(),
                        (event, fields) -> {});
        store.start();
        Set<String> known = new HashSet<>();
        for (String collection : COLLECTIONS) {
            new CollectionFollower(
                            store,
                            collection,
                            mHosts.loop(),
                            new Random(host.name().hashCode()),
                            (event, fields) -> {},
                            new KnownNames(known),
                            PropagationWorld.MAX_RETRY_DELAY)
                    .start();
        }
        mAccess.put(host.name(), access);
        mKnownByHost.put(host.name(), known);
    }

    /** Adds a host to the list and starts it. */
    void addHost(String name, String domain) {
        start(mHosts.addHost(name, domain));
    }

    /** Starts a crashed or suspended host again; the old process sends nothing any more. */
    void restart(SimulatedHost host) {
        treat(host, SimulatedStore.Treatment.REFUSED);
        mHosts.restart(host);
        start(host);
    }

    void treat(SimulatedHost host, SimulatedStore.Treatment treatment) {
        mAccess.get(host.name()).setTreatment(treatment);
    }

    /** Returns the relays of the failure domain, the one that the others prefer first. */
    List<SimulatedHost> relaysOf(String domain) {
        List<String> ranking =
                mHosts.runningHosts().stream()
                        .filter(host -> host.domain().name().equals(domain))
                        .filter(host -> !host.network().isRelay())
                        .findFirst()
                        .orElseThrow()
                        .network()
                        .ownRelays();
        List<SimulatedHost> relays = new ArrayList<>();
        for (String name : ranking) {
            mHosts.relays().stream().filter(host -> host.name().equals(name)).forEach(relays::add);
        }
        return relays;
    }

    /** Advances the time while entries of servers change. */
    void run(Duration time) {
        long step = 1000 / CHANGES_OF_SERVERS_PER_SECOND;
        for (long left = time.toMillis(); left > 0; left -= step) {
            mHosts.advanceTime(Duration.ofMillis(Math.min(left, step)));
            mStore.put(SERVERS, "server-" + mRandom.nextInt(45), PropagationWorld.entry(false, 1));
        }
    }

    /** Changes one object of each collection and returns the names of the objects. */
    List<String> change() {
        mChangeCount++;
        List<String> names = new ArrayList<>();
        for (String collection : COLLECTIONS) {
            String name = collection + "-change-" + mChangeCount;
            mStore.put(collection, name, PropagationWorld.entry(false, 1));
            names.add(name);
        }
        return names;
    }

    /** Advances the time until all selected hosts know the object, or the time limit is reached. */
    Map<String, Duration> timesUntilKnown(List<String> objects, Predicate<SimulatedHost> selected) {
        Map<String, Duration> times = new LinkedHashMap<>();
        for (int step = 0; times.size() < objects.size(); step++) {
            Duration elapsed = Duration.ofMillis((long) step * MEASURED_STEP_MILLIS);
            for (String object : objects) {
                boolean known =
                        mHosts.runningHosts().stream()
                                .filter(selected)
                                .allMatch(host -> mKnownByHost.get(host.name()).contains(object));
                if (known || elapsed.compareTo(MAX_TIME) >= 0) {
                    times.putIfAbsent(object, elapsed);
                }
            }
            mHosts.advanceTime(Duration.ofMillis(MEASURED_STEP_MILLIS));
        }
        return times;
    }

    /** Returns the watch calls that all hosts have sent, by collection. */
    Map<String, Integer> watchCalls() {
        Map<String, Integer> calls = new LinkedHashMap<>();
        for (String collection : COLLECTIONS) {
            calls.put(
                    collection,
                    mAccess.values().stream()
                            .mapToInt(access -> access.pollCount(collection))
                            .sum());
        }
        return calls;
    }

    /** Returns the watch calls that hosts which are no relays now have sent. */
    int watchCallsOfMembers(String collection) {
        return mHosts.hosts().stream()
                .filter(host -> !host.network().isRelay())
                .mapToInt(host -> mAccess.get(host.name()).pollCount(collection))
                .sum();
    }

    /** Keeps the names of all objects that the host has heard of. */
    private record KnownNames(Set<String> known) implements CollectionListener {

        @Override
        public void listed(ObjectList list) {
            list.objects().forEach(object -> known.add(object.name()));
        }

        @Override
        public void changed(WatchEvent event) {
            if (event.type() != WatchEventType.BOOKMARK) {
                known.add(event.object().name());
            }
        }
    }
}
