package org.vanillaslip.internal.control.configuration;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.control.HostView;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerFailure;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.ConfigurationDigest;
import org.vanillaslip.messages.ConfigurationObject;
import org.vanillaslip.messages.Envelope;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Requests newer configuration items from one random peer of the failure domain every second. One
 * peer per second keeps the cost independent of the number of hosts, and an item still reaches all
 * hosts in a number of rounds that grows with the logarithm of their number.
 */
public final class ConfigurationExchange {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final ConfigurationWatcher mWatcher;
    private final PeerItemCodec mItemCodec;
    private final HostView mHosts;
    private final PeerLinks mLinks;
    private final FailureDomain mFailureDomain;
    private final DecisionLoop mLoop;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private boolean mRequestInFlight;

    /** Creates an exchange for a host of the given failure domain. */
    public ConfigurationExchange(
            ConfigurationWatcher watcher,
            ConfigurationCodec codec,
            HostView hosts,
            PeerLinks links,
            FailureDomain failureDomain,
            DecisionLoop loop,
            RandomGenerator random,
            EventLog log) {
        mWatcher = watcher;
        mItemCodec = new PeerItemCodec(codec);
        mHosts = hosts;
        mLinks = links;
        mFailureDomain = failureDomain;
        mLoop = loop;
        mRandom = random;
        mLog = log;
    }

    /** Starts answering peers and sending them requests; the returned handle stops the requests. */
    public Disposable start() {
        mLinks.handle(Envelope.BodyCase.CONFIGURATION_DIGEST, this::handleDigest);
        long interval = INTERVAL.toMillis();
        return mLoop.scheduler()
                .schedulePeriodically(
                        this::queryRandomPeer,
                        mRandom.nextLong(interval),
                        interval,
                        TimeUnit.MILLISECONDS);
    }

    private Mono<Envelope.Builder> handleDigest(Envelope request) {
        long version = request.getConfigurationDigest().getVersion();
        return Mono.just(
                Envelope.newBuilder()
                        .setConfigurationItems(
                                mItemCodec.encode(mWatcher.itemsNewerThan(version))));
    }

    private void queryRandomPeer() {
        List<String> peers = livePeers();
        if (mRequestInFlight || peers.isEmpty()) {
            return;
        }
        mRequestInFlight = true;
        String peer = peers.get(mRandom.nextInt(peers.size()));
        Envelope.Builder digest =
                Envelope.newBuilder()
                        .setConfigurationDigest(
                                ConfigurationDigest.newBuilder().setVersion(mWatcher.version()));
        mLinks.request(peer, digest, INTERVAL)
                .onErrorReturn(Either.left(PeerFailure.UNREACHABLE))
                .doFinally(signal -> mRequestInFlight = false)
                .subscribe(
                        result ->
                                result.peek(reply -> applyReply(peer, reply))
                                        .peekLeft(failure -> onFailure(peer, failure)));
    }

    /**
     * Returns the live peers of the failure domain, or all live peers without a host list, as after
     * a restart during an outage.
     */
    private List<String> livePeers() {
        Set<String> live = mLinks.liveHosts();
        List<Host> hosts = mHosts.hosts();
        Set<String> domainHosts =
                hosts.stream()
                        .filter(host -> host.failureDomain().equals(mFailureDomain))
                        .map(Host::name)
                        .collect(Collectors.toSet());
        return live.stream()
                .filter(name -> hosts.isEmpty() || domainHosts.contains(name))
                .sorted()
                .toList();
    }

    private void applyReply(String peer, Envelope reply) {
        List<VersionedItem> items = new ArrayList<>();
        for (ConfigurationObject object : reply.getConfigurationItems().getObjectsList()) {
            mItemCodec
                    .decode(object)
                    .peek(items::add)
                    .peekLeft(faults -> onUnreadable(peer, faults));
        }
        if (!items.isEmpty()) {
            mLog.log(
                    ConfigurationEvent.ITEMS_FROM_PEER,
                    field("peer", peer),
                    field("items", items.size()));
            mWatcher.mergeFromPeer(items);
        }
    }

    private void onUnreadable(String peer, List<Fault> faults) {
        mLog.log(
                ConfigurationEvent.PEER_ITEM_UNREADABLE,
                field("peer", peer),
                field("faults", faults));
    }

    private void onFailure(String peer, PeerFailure failure) {
        mLog.log(
                ConfigurationEvent.PEER_NOT_REACHED,
                field("peer", peer),
                field("failure", failure));
    }
}
