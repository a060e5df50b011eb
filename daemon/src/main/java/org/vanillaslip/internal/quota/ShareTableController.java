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
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * Watches the share tables. The host that holds the lease of the failure domain's first control
 * shard also writes the table of the domain.
 */
public final class ShareTableController implements ShareView {

    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

    /** A host that is missing from the platform's list for this long counts as stopped. */
    private static final long VANISHED_AFTER_NANOS = Duration.ofSeconds(60).toNanos();

    /**
     * After a longer pause of this process its share may belong to another host, so the share is
     * not used until the tables have been read again. Well below the time after which a host counts
     * as vanished.
     */
    private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(20).toNanos();

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
    private final Map<String, Long> mUnlistedSince = new HashMap<>();
    private final Map<String, Long> mConfirmedGenerations = new HashMap<>();
    private final Disposable.Swap mCall = Disposables.swap();
    private final Disposable.Swap mRetry = Disposables.swap();
    private final Disposable.Swap mWrite = Disposables.swap();
    private final Disposable.Composite mSubscriptions =
            Disposables.composite(mCall, mRetry, mWrite);
    private BooleanSupplier mFitsShare = () -> false;
    private boolean mWriteInProgress;
    private boolean mTablesCurrent;
    private int mWatchRound;
    private long mLastTickAt;

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
     * Starts watching the tables; the returned handle stops it.
     *
     * @param fitsShare whether all tokens that this host has lent fit into its current share
     */
    public Disposable start(BooleanSupplier fitsShare) {
        mFitsShare = fitsShare;
        mLastTickAt = mLoop.clock().nowNanos();
        mLinks.handle(Envelope.BodyCase.SHARE_CONFIRMATION, this::recordConfirmation);
        mSubscriptions.add(mLoop.scheduler().schedule(this::listAndWatch));
        mSubscriptions.add(
                mLoop.scheduler()
                        .schedulePeriodically(
                                this::tick, 0, TICK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS));
        return mSubscriptions;
    }

    @Override
    public Map<String, Long> partsByHost() {
        return mTables.partsByHost();
    }

    @Override
    public long ownParts() {
        boolean paused = mLoop.clock().nowNanos() - mLastTickAt > MAX_PAUSE_NANOS;
        if (!mTablesCurrent || paused || isUnlisted(mHost)) {
            return 0;
        }
        return mTables.table(mFailureDomain.name()).map(table -> table.partsOf(mHost)).orElse(0L);
    }

    private boolean isUnlisted(String host) {
        return !mHosts.hosts().isEmpty()
                && mHosts.hosts().stream().noneMatch(listed -> listed.name().equals(host));
    }

    private void listAndWatch() {
        int round = ++mWatchRound;
        mCall.update(
                mStore.list(ShareTables.COLLECTION)
                        .publishOn(mLoop.scheduler())
                        .subscribe(
                                list ->
                                        list.peek(found -> applyListAndWatch(found, round))
                                                .peekLeft(this::handleListFailure),
                                failure -> scheduleListAndWatch(round)));
    }

    private void applyListAndWatch(ObjectList list, int round) {
        if (round != mWatchRound) {
            return;
        }
        list.objects().forEach(this::apply);
        mTablesCurrent = true;
        mCall.update(
                mStore.watch(ShareTables.COLLECTION, list.version())
                        .publishOn(mLoop.scheduler())
                        .takeWhile(event -> round == mWatchRound)
                        .subscribe(
                                event -> {
                                    if (!event.object().name().isEmpty()) {
                                        apply(event.object());
                                    }
                                },
                                failure -> scheduleListAndWatch(round),
                                () -> scheduleListAndWatch(round)));
    }

    private void handleListFailure(PlatformFailure failure) {
        mLog.log(QuotaEvent.SHARE_TABLE_UNREADABLE, field("failure", failure));
        scheduleListAndWatch(mWatchRound);
    }

    /** Lists again after 1 to 3 s, so that not all hosts call the store at once after an outage. */
    private void scheduleListAndWatch(int round) {
        long delay = 1000L + mRandom.nextInt(2000);
        mRetry.update(
                mLoop.scheduler()
                        .schedule(
                                () -> {
                                    if (round == mWatchRound) {
                                        listAndWatch();
                                    }
                                },
                                delay,
                                TimeUnit.MILLISECONDS));
    }

    private void apply(StoredObject object) {
        long before =
                mTables.table(mFailureDomain.name()).map(table -> table.partsOf(mHost)).orElse(0L);
        if (mTables.apply(object)) {
            long parts =
                    mTables.table(mFailureDomain.name())
                            .map(table -> table.partsOf(mHost))
                            .orElse(0L);
            if (parts != before) {
                mLog.log(QuotaEvent.SHARE_CHANGED, field("parts", parts));
            }
        }
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        if (now - mLastTickAt > MAX_PAUSE_NANOS) {
            mTablesCurrent = false;
            listAndWatch();
        }
        mLastTickAt = now;
        updateUnlistedHosts(now);
        confirmSmallerShare();
        if (isWriter() && mTablesCurrent && !mWriteInProgress) {
            updateTable(now);
        }
    }

    private void updateUnlistedHosts(long now) {
        Set<String> hosts = mTables.partsByHost().keySet();
        mUnlistedSince.keySet().retainAll(hosts);
        for (String host : hosts) {
            if (isUnlisted(host)) {
                mUnlistedSince.putIfAbsent(host, now);
            } else {
                mUnlistedSince.remove(host);
            }
        }
    }

    private void confirmSmallerShare() {
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
            mConfirmedGenerations.put(mHost, generation);
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

    private Mono<Envelope.Builder> recordConfirmation(Envelope message) {
        ShareConfirmation confirmation = message.getShareConfirmation();
        if (confirmation.getFailureDomain().equals(mFailureDomain.name())) {
            mConfirmedGenerations.merge(
                    message.getSender(), confirmation.getGeneration(), Math::max);
        }
        return Mono.empty();
    }

    private void updateTable(long now) {
        if (mTables.partsByDomain().isEmpty()) {
            createDomainParts();
            return;
        }
        long domainParts = mTables.partsByDomain().get().getOrDefault(mFailureDomain.name(), 0L);
        ShareTable table =
                mTables.table(mFailureDomain.name())
                        .orElseGet(() -> ShareTable.empty(mFailureDomain.name(), domainParts));
        Set<String> eligible = eligibleHosts();
        if (eligible.isEmpty()) {
            return;
        }
        Set<String> vanished =
                mUnlistedSince.entrySet().stream()
                        .filter(unlisted -> now - unlisted.getValue() >= VANISHED_AFTER_NANOS)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        ShareTable next = ShareTablePlanner.next(table, eligible, vanished, mConfirmedGenerations);
        if (!next.equals(table)) {
            String name = ShareTables.objectName(mFailureDomain.name());
            write(name, ShareTableFormat.write(next));
        }
    }

    /** Creates the object that gives an equal fraction to each failure domain that has hosts. */
    private void createDomainParts() {
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
        mWriteInProgress = true;
        mWrite.update(
                written.onErrorReturn(Either.left(PlatformFailure.OUTCOME_UNKNOWN))
                        .publishOn(mLoop.scheduler())
                        .subscribe(result -> handleWriteResult(name, result)));
    }

    private void handleWriteResult(String name, Either<PlatformFailure, StoredObject> result) {
        mWriteInProgress = false;
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
            listAndWatch();
        }
    }

    private Set<String> eligibleHosts() {
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
