package org.vanillaslip.internal.control.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.ItemName;
import org.vanillaslip.Plan;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.internal.platform.HostCodec;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.standins.platform.CallCounts;
import org.vanillaslip.internal.standins.platform.InProcessObjectStore;
import org.vanillaslip.internal.standins.platform.ObjectStorage;
import org.vanillaslip.internal.standins.platform.PlatformFaults;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A simulated platform with an operator and hosts in virtual time. */
final class TestPlatform {

    static final FailureDomain NORTH = new FailureDomain("north");

    final ObjectStorage mStorage = new ObjectStorage(1000);
    final PlatformFaults mFaults = new PlatformFaults();
    final CallCounts mCallCounts = new CallCounts();
    final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    final FakePeerNetwork mNetwork = new FakePeerNetwork(mScheduler);
    final ConfigurationCodec mCodec = new ConfigurationCodec();
    private int mSeed;

    /**
     * The configuration components of a running host; the store takes its name as failure domain.
     */
    record TestHost(
            ConfigurationWatcher watcher,
            HostListWatcher hosts,
            Disposable.Composite subscriptions) {

        Map<String, Plan> plans() {
            return watcher.current().orElseThrow().plans();
        }

        long rate(String plan) {
            return plans().get(plan).tokensPerSecond();
        }
    }

    TestHost startHost(String name) {
        return startHost(name, store(name));
    }

    TestHost startHost(String name, ObjectStore store) {
        DecisionLoop loop =
                new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
        EventLog log = (event, fields) -> {};
        Random random = new Random(++mSeed);
        ConfigurationWatcher watcher = new ConfigurationWatcher(store, mCodec, loop, random, log);
        HostListWatcher hosts = new HostListWatcher(store, new HostCodec(), loop, random, log);
        ConfigurationExchange exchange =
                new ConfigurationExchange(
                        watcher, mCodec, hosts, mNetwork.linksOf(name), NORTH, loop, random, log);
        return new TestHost(
                watcher,
                hosts,
                Disposables.composite(watcher.start(), hosts.start(), exchange.start()));
    }

    ObjectStore store(String caller) {
        return new InProcessObjectStore(mStorage, mFaults, mCallCounts, mScheduler, caller);
    }

    void addHost(String host) {
        Host entry = new Host(host, NORTH, "127.0.0.1:1", false);
        mStorage.create(PlatformCollections.HOSTS, host, new HostCodec().encode(entry));
    }

    /** Writes as an operator who has read the given version; 0 creates the plan. */
    Either<PlatformFailure, StoredObject> write(long readVersion, Plan plan) {
        return write(readVersion, ItemName.of(plan), Optional.of(plan));
    }

    Either<PlatformFailure, StoredObject> write(
            long readVersion, ItemName name, Optional<ConfigurationItem> item) {
        ObjectStore store = store("operator");
        String collection = PlatformCollections.CONFIGURATION;
        return (readVersion == 0
                        ? store.create(collection, name.objectName(), mCodec.encode(name, item))
                        : store.update(
                                collection,
                                name.objectName(),
                                readVersion,
                                mCodec.encode(name, item)))
                .block();
    }

    StoredObject read(String plan) {
        return mStorage.read(PlatformCollections.CONFIGURATION, "plan." + plan).get();
    }

    void advanceTime(Duration time) {
        mScheduler.advanceTimeBy(time);
    }

    static Plan plan(String name, long rate) {
        return new Plan(name, Set.of(), Set.of(), rate, 100);
    }
}
