package org.vanillaslip.internal.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Matches replies to requests, dispatches requests to handlers, drops duplicates and tracks which
 * hosts are live. Independent of the transport; runs on the decision loop.
 */
public final class PeerExchange implements PeerLinks {

    private final String mHost;
    private final String mIncarnation;
    private final DecisionLoop mLoop;
    private final PeerTransport mTransport;
    private final long mSilenceTimeoutNanos;
    private final Map<Envelope.BodyCase, PeerHandler> mHandlers =
            new EnumMap<>(Envelope.BodyCase.class);
    private final Map<Long, PendingRequest> mPendingRequests = new HashMap<>();
    private final Map<String, RecentMessageIds> mRecentIdsBySender = new HashMap<>();
    private final Map<String, Long> mLastMessageNanosByHost = new HashMap<>();
    private final Map<String, String> mIncarnationsByHost = new HashMap<>();
    private volatile Set<String> mLiveHosts = Set.of();
    private long mLastRequestId;

    /**
     * Creates an exchange without handlers or live hosts.
     *
     * @param incarnation identifier of this start of the process
     * @param firstRequestId random, so that a reply to an earlier incarnation matches no request
     * @param silenceTimeout time without a message after which a host is no longer live
     */
    public PeerExchange(
            String host,
            String incarnation,
            DecisionLoop loop,
            PeerTransport transport,
            long firstRequestId,
            Duration silenceTimeout) {
        mHost = host;
        mIncarnation = incarnation;
        mLoop = loop;
        mTransport = transport;
        mLastRequestId = firstRequestId;
        mSilenceTimeoutNanos = silenceTimeout.toNanos();
    }

    @Override
    public Mono<Either<PeerFailure, Envelope>> request(
            String host, Envelope.Builder request, Duration timeout) {
        return Mono.<Either<PeerFailure, Envelope>>create(
                sink -> runOnLoop(() -> startRequest(host, request.clone(), timeout, sink)));
    }

    @Override
    public void send(String host, Envelope.Builder message) {
        Envelope envelope = withSender(message.clone().setRequestId(0).setReply(false));
        runOnLoop(() -> mTransport.send(host, envelope));
    }

    @Override
    public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
        runOnLoop(() -> mHandlers.put(bodyCase, handler));
    }

    @Override
    public Set<String> liveHosts() {
        return mLiveHosts;
    }

    /** Handles a received message. Must be called on the decision loop. */
    public void receive(Envelope message) {
        if (message.getSender().equals(mHost)) {
            return;
        }
        mLastMessageNanosByHost.put(message.getSender(), mLoop.clock().nowNanos());
        mIncarnationsByHost.put(message.getSender(), message.getSenderIncarnation());
        updateLiveHosts();
        if (message.getReply()) {
            completeRequest(message);
        } else if (message.getRequestId() == 0 || isNewRequest(message)) {
            dispatch(message);
        }
    }

    /** Removes hosts whose silence timeout has expired. Must be called on the decision loop. */
    public void updateLiveHosts() {
        long now = mLoop.clock().nowNanos();
        mLastMessageNanosByHost
                .values()
                .removeIf(lastMessageNanos -> now - lastMessageNanos > mSilenceTimeoutNanos);
        mRecentIdsBySender.keySet().retainAll(mLastMessageNanosByHost.keySet());
        mIncarnationsByHost.keySet().retainAll(mLastMessageNanosByHost.keySet());
        if (!mLiveHosts.equals(mLastMessageNanosByHost.keySet())) {
            mLiveHosts =
                    mLastMessageNanosByHost.keySet().stream()
                            .collect(Collectors.toUnmodifiableSet());
        }
    }

    private void startRequest(
            String host,
            Envelope.Builder request,
            Duration timeout,
            MonoSink<Either<PeerFailure, Envelope>> sink) {
        long requestId = ++mLastRequestId;
        String incarnation = mIncarnationsByHost.getOrDefault(host, "");
        mPendingRequests.put(requestId, new PendingRequest(host, incarnation, sink));
        if (!mTransport.send(host, withSender(request.setRequestId(requestId).setReply(false)))) {
            fail(requestId, PeerFailure.UNREACHABLE);
            return;
        }
        mLoop.scheduler()
                .schedule(
                        () -> fail(requestId, PeerFailure.TIMEOUT),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void fail(long requestId, PeerFailure failure) {
        PendingRequest pending = mPendingRequests.remove(requestId);
        if (pending != null) {
            pending.sink().success(Either.left(failure));
        }
    }

    private void completeRequest(Envelope reply) {
        PendingRequest pending = mPendingRequests.get(reply.getRequestId());
        if (pending != null && pending.matches(reply)) {
            mPendingRequests.remove(reply.getRequestId());
            pending.sink().success(Either.right(reply));
        }
    }

    private void dispatch(Envelope request) {
        PeerHandler handler = mHandlers.get(request.getBodyCase());
        if (handler == null) {
            return;
        }
        handler.handle(request)
                .subscribe(
                        reply -> runOnLoop(() -> reply(request, reply)),
                        // The requester times out if the handler fails.
                        failure -> {});
    }

    private void reply(Envelope request, Envelope.Builder reply) {
        if (request.getRequestId() != 0) {
            mTransport.send(
                    request.getSender(),
                    withSender(reply.setRequestId(request.getRequestId()).setReply(true)));
        }
    }

    private boolean isNewRequest(Envelope request) {
        String incarnation = request.getSenderIncarnation();
        RecentMessageIds recentIds = mRecentIdsBySender.get(request.getSender());
        if (recentIds == null || !recentIds.belongsTo(incarnation)) {
            recentIds = new RecentMessageIds(incarnation);
            mRecentIdsBySender.put(request.getSender(), recentIds);
        }
        return recentIds.addIfNew(request.getRequestId());
    }

    /** Builds the message with the name and incarnation of this host as its sender. */
    Envelope withSender(Envelope.Builder message) {
        return message.setSender(mHost).setSenderIncarnation(mIncarnation).build();
    }

    private void runOnLoop(Runnable task) {
        mLoop.scheduler().schedule(task);
    }
}
