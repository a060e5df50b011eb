package org.vanillaslip.internal.peer;

import static org.vanillaslip.internal.logging.LogField.field;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.vanillaslip.Host;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.UnreadableEntries;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Heartbeat;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Peer links over TCP, with one connection per pair of hosts. A {@link LinkPolicy} selects the
 * hosts to connect to. The bootstrap addresses are tried while no peer is linked.
 */
public final class NettyPeerLinks implements PeerLinks {

    /** A link with more unsent bytes than this takes no message. */
    private static final int MAX_UNSENT_BYTES = 1024 * 1024;

    /** Limits the memory used by messages that slow peers have not read yet, over all links. */
    private static final int MAX_TOTAL_UNSENT_BYTES = 24 * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    private static final Duration TRAFFIC_LOG_INTERVAL = Duration.ofSeconds(5);

    private final String mHost;
    private final DecisionLoop mLoop;
    private final EventLoopGroup mGroup;
    private final InetSocketAddress mBindAddress;
    private final Supplier<List<Host>> mHosts;
    private final List<InetSocketAddress> mBootstrap;
    private final LinkPolicy mPolicy;
    private final Supplier<Heartbeat> mHeartbeat;
    private final PeerTimes mTimes;
    private final LinkTraffic mTraffic;
    private final UnreadableEntries mUnreadable;
    private final EventLog mLog;
    private final PeerExchange mExchange;
    private final Map<String, PeerLink> mLinksByHost = new HashMap<>();
    private final Set<PeerLink> mOpenLinks = new HashSet<>();
    private final Set<InetSocketAddress> mConnecting = new HashSet<>();
    private final AtomicLong mUnsentBytes = new AtomicLong();
    private volatile Optional<Channel> mServerChannel = Optional.empty();
    private volatile Optional<Disposable> mTickTask = Optional.empty();
    private volatile Optional<Disposable> mTrafficLogTask = Optional.empty();

    /**
     * Creates the links without listening or connecting.
     *
     * @param incarnation identifier of this start of the process
     * @param firstRequestId random, so that a reply to an earlier incarnation matches no request
     * @param hosts the platform's host list as last read
     * @param bootstrap addresses to connect to while no peer is linked
     * @param policy decides which links this host opens and keeps
     * @param heartbeat supplies the content of each heartbeat
     */
    public NettyPeerLinks(
            String host,
            String incarnation,
            long firstRequestId,
            DecisionLoop loop,
            EventLoopGroup group,
            InetSocketAddress bindAddress,
            Supplier<List<Host>> hosts,
            List<InetSocketAddress> bootstrap,
            LinkPolicy policy,
            Supplier<Heartbeat> heartbeat,
            PeerTimes times,
            DaemonMetrics metrics,
            EventLog log) {
        mHost = host;
        mLoop = loop;
        mGroup = group;
        mBindAddress = bindAddress;
        mHosts = hosts;
        mBootstrap = List.copyOf(bootstrap);
        mPolicy = policy;
        mHeartbeat = heartbeat;
        mTimes = times;
        mTraffic = new LinkTraffic(metrics, log);
        mUnreadable = new UnreadableEntries(PeerEvent.MESSAGE_UNREADABLE, loop.clock(), log);
        mLog = log;
        mExchange =
                new PeerExchange(
                        host,
                        incarnation,
                        loop,
                        this::write,
                        firstRequestId,
                        times.silenceTimeout());
    }

    /** Starts listening and connecting, and completes with the bound address. */
    public Mono<InetSocketAddress> start() {
        return Mono.create(
                sink ->
                        new ServerBootstrap()
                                .group(mGroup)
                                .channel(NioServerSocketChannel.class)
                                .childOption(ChannelOption.TCP_NODELAY, true)
                                .childOption(
                                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                                        writeBufferWaterMark())
                                .childHandler(initializer(Optional.empty()))
                                .bind(mBindAddress)
                                .addListener(
                                        (io.netty.channel.ChannelFuture bindResult) -> {
                                            if (bindResult.isSuccess()) {
                                                sink.success(onListening(bindResult.channel()));
                                            } else {
                                                sink.error(bindResult.cause());
                                            }
                                        }));
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        mTickTask.ifPresent(Disposable::dispose);
        mTrafficLogTask.ifPresent(Disposable::dispose);
        mServerChannel.ifPresent(Channel::close);
        mLoop.scheduler().schedule(() -> mOpenLinks.forEach(link -> link.channel().close()));
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

    /** Must be called on the decision loop. */
    @Override
    public Set<String> linkedHosts() {
        Set<String> linked = new HashSet<>(mExchange.liveHosts());
        linked.retainAll(mLinksByHost.keySet());
        return linked;
    }

    private InetSocketAddress onListening(Channel server) {
        mServerChannel = Optional.of(server);
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        long periodNanos = mTimes.heartbeatInterval().toNanos();
        mTickTask =
                Optional.of(
                        mLoop.scheduler()
                                .schedulePeriodically(
                                        this::tick, 0, periodNanos, TimeUnit.NANOSECONDS));
        long logNanos = TRAFFIC_LOG_INTERVAL.toNanos();
        mTrafficLogTask =
                Optional.of(
                        mLoop.scheduler()
                                .schedulePeriodically(
                                        mTraffic::logAndReset,
                                        logNanos,
                                        logNanos,
                                        TimeUnit.NANOSECONDS));
        mLog.log(PeerEvent.LISTENING, field("address", address));
        return address;
    }

    private ChannelInitializer<Channel> initializer(Optional<InetSocketAddress> outboundAddress) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                PeerLink link = new PeerLink(channel, outboundAddress, mLoop.clock().nowNanos());
                channel.pipeline().addLast(new ReadRecorder(link, mLoop.clock()));
                channel.pipeline()
                        .addLast(new EnvelopeCodec(fault -> reportUnreadable(link, fault)));
                channel.pipeline().addLast(new PeerMessageCounter(mTraffic));
                channel.pipeline().addLast(new PeerLinkHandler(link, NettyPeerLinks.this, mLoop));
            }
        };
    }

    private static WriteBufferWaterMark writeBufferWaterMark() {
        return new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES);
    }

    private void tick() {
        long now = mLoop.clock().nowNanos();
        for (PeerLink link : List.copyOf(mOpenLinks)) {
            if (link.silentNanos(now) > mTimes.silenceTimeout().toNanos()) {
                mLog.log(PeerEvent.LINK_SILENT, field("host", link.peer().orElse("")));
                link.channel().close();
                onClosed(link);
            } else if (isUnneeded(link)) {
                link.channel().close();
                onClosed(link);
            } else {
                sendHeartbeat(link);
            }
        }
        mExchange.updateLiveHosts();
        connectToMissingHosts();
    }

    private boolean isUnneeded(PeerLink link) {
        return link.outboundAddress().isPresent()
                && link.peer().isPresent()
                && !mPolicy.shouldKeep(link.peer().get());
    }

    /** Connects to the hosts whose links are missing. Must be called on the decision loop. */
    public void connectToMissingHosts() {
        for (Host host : mHosts.get()) {
            boolean missing = !host.name().equals(mHost) && !mLinksByHost.containsKey(host.name());
            if (missing && mPolicy.shouldOpen(host)) {
                PeerAddress.parse(host.peerAddress()).ifPresent(this::connect);
            }
        }
        for (InetSocketAddress address : mBootstrap) {
            if (mOpenLinks.stream()
                            .noneMatch(link -> link.outboundAddress().equals(Optional.of(address)))
                    && mLinksByHost.isEmpty()) {
                connect(address);
            }
        }
    }

    private void connect(InetSocketAddress address) {
        if (!mConnecting.add(address)) {
            return;
        }
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
                .handler(initializer(Optional.of(address)))
                .connect(address)
                .addListener(
                        connectResult -> {
                            if (!connectResult.isSuccess()) {
                                mLog.log(PeerEvent.LINK_FAILED, field("address", address));
                            }
                            mLoop.scheduler().schedule(() -> mConnecting.remove(address));
                        });
    }

    /** Registers a new connection and identifies this host to the peer with a heartbeat. */
    void onOpened(PeerLink link) {
        mOpenLinks.add(link);
        sendHeartbeat(link);
    }

    /** Removes a closed connection. */
    void onClosed(PeerLink link) {
        mOpenLinks.remove(link);
        mUnreadable.remove(link.name());
        link.peer()
                .filter(peer -> mLinksByHost.remove(peer, link))
                .ifPresent(peer -> mLog.log(PeerEvent.LINK_DOWN, field("host", peer)));
    }

    /** Logs a message that cannot be read, once for each link. */
    void reportUnreadable(PeerLink link, String fault) {
        mLoop.scheduler().schedule(() -> mUnreadable.report(link.name(), fault));
    }

    /** Handles a message received on the connection. */
    void onMessage(PeerLink link, Envelope message) {
        if (link.peer().isEmpty() && !acceptPeer(link, message.getSender())) {
            return;
        }
        if (link.peer().equals(Optional.of(message.getSender()))) {
            mExchange.receive(message);
        }
    }

    private boolean acceptPeer(PeerLink link, String peer) {
        PeerLink other = mLinksByHost.get(peer);
        if (peer.equals(mHost) || (other != null && !shouldReplace(link, other, peer))) {
            link.channel().close();
            return false;
        }
        link.setPeer(peer);
        mLinksByHost.put(peer, link);
        if (other != null) {
            other.channel().close();
        }
        mLog.log(PeerEvent.LINK_UP, field("host", peer));
        return true;
    }

    /**
     * Returns whether a new connection replaces the existing one. Both hosts have to keep the same
     * connection: the one that the host with the smaller name opened, and the newer of two such
     * connections, since the older one may be half open.
     */
    private boolean shouldReplace(PeerLink link, PeerLink other, String peer) {
        boolean thisHostConnects = mHost.compareTo(peer) < 0;
        boolean preferred = link.outboundAddress().isPresent() == thisHostConnects;
        boolean otherPreferred = other.outboundAddress().isPresent() == thisHostConnects;
        return preferred || !otherPreferred;
    }

    private void sendHeartbeat(PeerLink link) {
        if (link.channel().isWritable()) {
            link.channel()
                    .writeAndFlush(
                            mExchange.withSender(
                                    Envelope.newBuilder().setHeartbeat(mHeartbeat.get())));
        }
    }

    private boolean write(String host, Envelope message) {
        PeerLink link = mLinksByHost.get(host);
        if (link == null || !link.channel().isWritable()) {
            return false;
        }
        int bytes = message.getSerializedSize();
        if (mUnsentBytes.addAndGet(bytes) > MAX_TOTAL_UNSENT_BYTES) {
            mUnsentBytes.addAndGet(-bytes);
            return false;
        }
        link.channel()
                .writeAndFlush(message)
                .addListener(written -> mUnsentBytes.addAndGet(-bytes));
        return true;
    }
}
