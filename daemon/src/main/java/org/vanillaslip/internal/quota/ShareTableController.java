package org.vanillaslip.internal.quota;

import static org.vanillaslip.internal.logging.LogField.field;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.HostEntry;
import org.vanillaslip.internal.control.ConfigurationView;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.control.PlacementView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.ShareConfirmation;
import reactor.core.publisher.Mono;

/**
 * Follows the share tables and, on the lease holder of the domain's first shard, writes the table
 * of this failure domain.
 */
public final class ShareTableController implements ShareView {

    private static final Duration TICK = Duration.ofSeconds(1);

    /** A host that the platform's list has not named for this long has been stopped. */
    private static final long VANISHED_NANOS = Duration.ofSeconds(60).toNanos();

    /**
     * After a pause this long the share may have been given to another host, so it is not used
     * until the tables were read again. Well below the time after which a host counts as vanished.
     */
    private static final long PAUSE_NANOS = Duration.ofSeconds(20).toNanos();

    private final String mHost;
    private final FailureDomain mFailureDomain;
    private final DecisionLoop mLoop;
    private final ConfigurationView mConfiguration;
    private final HostView mHosts;
    private final PlacementView mPlacement;
    private final ObjectStore mStore;
    private final PeerLinks mLinks;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final ShareTables mTables = new ShareTables();
    private final Map<String, Long> mMissingSince = new HashMap<>();
    private final Map<String, Long> mConfirmed = new HashMap<>();
    private BooleanSupplier mFitsShare = () -> false;
    private boolean mWriting;
    private boolean mListed;
    private int mFollowing;
    private long mTickAt;

    /** Creates a controller that is not started yet. */
    public ShareTableController(
            String host,
            FailureDomain failureDomain,
            DecisionLoop loop,
            ConfigurationView configuration,
            HostView hosts,
            PlacementView placement,
            ObjectStore store,
            PeerLinks links,
            RandomGenerator random,
            EventLog log) {
        mHost = host;
        mFailureDomain = failureDomain;
        mLoop = loop;
        mConfiguration = configuration;
        mHosts = hosts;
        mPlacement = placement;
        mStore = store;
        mLinks = links;
        mRandom = random;
        mLog = log;
    }

    /**
     * Starts following the tables.
     *
     * @param fitsShare whether all tokens that this host has lent fit into its current share
     */
    public void start(BooleanSupplier fitsShare) {
        mFitsShare = fitsShare;
        mTickAt = mLoop.clock().nowNanos();
        mLinks.handle(Envelope.BodyCase.SHARE_CONFIRMATION, this::confirmed);
        mLoop.scheduler().schedule(this::follow);
        mLoop.scheduler().schedulePeriodically(this::tick, 0, TICK.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public Map<String, Long> partsByHost() {
        return mTables.partsByHost();
    }

    @Override
    public long ownParts() {
        boolean paused = mLoop.clock().nowNanos() - mTickAt > PAUSE_NANOS;
        if (!mListed || paused || isUnlisted(mHost)) {
            return 0;
        }
        return mTables.table(mFailureDomain.name()).map(table -> table.partsOf(mHost)).orElse(0L);
    }

    private boolean isUnlisted(String host) {
        return !mHosts.hosts().isEmpty()
                && mHosts.hosts().stream().noneMatch(listed -> listed.name().equals(host));
    }

    private void follow() {
        int round = ++mFollowing;
        mStore.list(ShareTables.COLLECTION)
                .publishOn(mLoop.scheduler())
                .subscribe(
                        list -> list.peek(found -> listed(found, round)).peekLeft(this::failed),
                        failure -> followLater(round));
    }

    private void listed(ObjectList list, int round) {
        if (round != mFollowing) {
            return;
        }
        list.objects().forEach(this::apply);
        mListed = true;
        mStore.watch(ShareTables.COLLECTION, list.version())
                .publishOn(mLoop.scheduler())
                .takeWhile(event -> round == mFollowing)
                .subscribe(
                        event -> {
                            if (!event.object().name().isEmpty()) {
                                apply(event.object());
                            }
                        },
                        failure -> followLater(round),
                        () -> followLater(round));
    }

    private void failed(PlatformFailure failure) {
        mLog.log(QuotaEvent.SHARE_TABLE_UNREADABLE, field("failure", failure));
        followLater(mFollowing);
    }

    /** Reads again after 1 to 3 s, so that an outage does not end with all hosts at once. */
    private void followLater(int round) {
        long delay = 1000L + mRandom.nextInt(2000);
        mLoop.scheduler()
                .schedule(
                        () -> {
                            if (round == mFollowing) {
                                follow();
                            }
                        },
                        delay,
                        TimeUnit.MILLISECONDS);
    }

    private void apply(StoredObject object) {
        long before = mTables.table(mFailureDomain.name()).map(t -> t.partsOf(mHost)).orElse(0L);
        if (mTables.apply(object)) {
            long parts = mTables.table(mFailureDomain.name()).map(t -> t.partsOf(mHost)).orElse(0L);
            if (parts != before) {
                mLog.log(QuotaEvent.SHARE_CHANGED, field("parts", parts));
            }
        }
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        if (now - mTickAt > PAUSE_NANOS) {
            mListed = false;
            follow();
        }
        mTickAt = now;
        noteMissing(now);
        confirmShrunk();
        if (isWriter() && mListed && !mWriting) {
            plan(now);
        }
    }

    private void noteMissing(long now) {
        Set<String> hosts = mTables.partsByHost().keySet();
        mMissingSince.keySet().retainAll(hosts);
        for (String host : hosts) {
            if (isUnlisted(host)) {
                mMissingSince.putIfAbsent(host, now);
            } else {
                mMissingSince.remove(host);
            }
        }
    }

    private void confirmShrunk() {
        Optional<ShareTable> table = mTables.table(mFailureDomain.name());
        Optional<Share> own = table.map(found -> found.shares().get(mHost));
        if (table.isEmpty() || own.filter(Share::isShrinking).isEmpty()) {
            return;
        }
        long generation = table.get().generation();
        if (!mFitsShare.getAsBoolean()) {
            return;
        }
        if (isWriter()) {
            mConfirmed.put(mHost, generation);
            return;
        }
        ShareConfirmation confirmation =
                ShareConfirmation.newBuilder()
                        .setFailureDomain(mFailureDomain.name())
                        .setGeneration(generation)
                        .build();
        firstShard()
                .flatMap(mPlacement::holder)
                .ifPresent(
                        holder ->
                                mLinks.send(
                                        holder,
                                        Envelope.newBuilder().setShareConfirmation(confirmation)));
    }

    private Mono<Envelope.Builder> confirmed(Envelope message) {
        ShareConfirmation confirmation = message.getShareConfirmation();
        if (confirmation.getFailureDomain().equals(mFailureDomain.name())) {
            mConfirmed.merge(message.getSender(), confirmation.getGeneration(), Math::max);
        }
        return Mono.empty();
    }

    private void plan(long now) {
        if (mTables.partsByDomain().isEmpty()) {
            createDomains();
            return;
        }
        long domainParts = mTables.partsByDomain().get().getOrDefault(mFailureDomain.name(), 0L);
        ShareTable table =
                mTables.table(mFailureDomain.name())
                        .orElseGet(() -> ShareTable.empty(mFailureDomain.name(), domainParts));
        Set<String> staying = staying();
        if (staying.isEmpty()) {
            return;
        }
        Set<String> vanished =
                mMissingSince.entrySet().stream()
                        .filter(missing -> now - missing.getValue() >= VANISHED_NANOS)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        ShareTable next = ShareTablePlanner.next(table, staying, vanished, mConfirmed);
        if (!next.equals(table)) {
            String name = ShareTables.objectName(mFailureDomain.name());
            write(name, ShareTableFormat.write(next));
        }
    }

    /** Equal fractions for all failure domains that have hosts; recorded once. */
    private void createDomains() {
        Set<String> domains =
                mHosts.hosts().stream()
                        .map(host -> host.failureDomain().name())
                        .collect(Collectors.toSet());
        if (domains.isEmpty()) {
            return;
        }
        Map<String, Long> parts = ShareTable.divide(ShareTable.TOTAL_PARTS, domains);
        write(ShareTables.DOMAINS, ShareTableFormat.writeDomains(parts));
    }

    private void write(String name, ObjectNode spec) {
        long version = mTables.version(name);
        Mono<Either<PlatformFailure, StoredObject>> written =
                version == 0
                        ? mStore.create(ShareTables.COLLECTION, name, spec)
                        : mStore.update(ShareTables.COLLECTION, name, version, spec);
        mWriting = true;
        written.onErrorReturn(Either.left(PlatformFailure.OUTCOME_UNKNOWN))
                .publishOn(mLoop.scheduler())
                .subscribe(result -> written(name, result));
    }

    private void written(String name, Either<PlatformFailure, StoredObject> result) {
        mWriting = false;
        if (result.isRight()) {
            mLog.log(QuotaEvent.SHARE_TABLE_WRITTEN, field("name", name));
            apply(result.get());
            return;
        }
        boolean conflict = result.getLeft() == PlatformFailure.CONFLICT;
        mLog.log(
                conflict ? QuotaEvent.SHARE_TABLE_CONFLICT : QuotaEvent.SHARE_TABLE_UNREADABLE,
                field("name", name),
                field("failure", result.getLeft()));
        if (conflict || result.getLeft() == PlatformFailure.OUTCOME_UNKNOWN) {
            follow();
        }
    }

    private Set<String> staying() {
        return mHosts.hosts().stream()
                .filter(host -> host.failureDomain().equals(mFailureDomain) && !host.leaving())
                .map(Host::name)
                .filter(host -> !isDrained(host))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private boolean isDrained(String host) {
        return mConfiguration
                .current()
                .map(configuration -> configuration.hosts().get(host))
                .filter(HostEntry::drained)
                .isPresent();
    }

    private boolean isWriter() {
        return firstShard()
                .flatMap(mPlacement::holder)
                .filter(holder -> holder.equals(mHost))
                .isPresent();
    }

    private Optional<String> firstShard() {
        return mConfiguration
                .current()
                .flatMap(
                        configuration ->
                                configuration.backendServers().values().stream()
                                        .filter(
                                                server ->
                                                        server.failureDomain()
                                                                .equals(mFailureDomain))
                                        .map(BackendServer::controlShard)
                                        .min(String::compareTo));
    }
}
