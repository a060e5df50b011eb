package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.vanillaslip.internal.fleet.EventGaps;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.fleet.RequestSlot;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.stream.EventFramer;
import org.vanillaslip.internal.stream.StreamEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClientResponse;

/** Relays one event stream; a resumable stream continues on another server after a failure. */
final class StreamRelay {

    /** Minimum time that an engine needs for the first events. */
    private static final Duration MIN_RUN_TIME = Duration.ofMillis(200);

    /** A server that sends nothing for several event gaps may have stopped. */
    private static final int SILENCE_EVENT_GAPS = 4;

    private static final Duration MIN_SILENCE_TIMEOUT = Duration.ofMillis(1000);

    private static final String EVENT_STREAM = "text/event-stream";

    private final RelayCall mCall;
    private final CallSender mSender;
    private final Standbys mStandbys;
    private final Function<RequestSlot, EventGaps> mEventGaps;
    private final BodyMemoryLimit mMemoryLimit;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private @Nullable ResponseHead mResponseHead;
    private OptionalLong mLastEventId;
    private boolean mEventReceived;
    private boolean mEndIsCertain;
    private long mFirstEventNanos;

    StreamRelay(
            RelayCall call,
            CallSender sender,
            Standbys standbys,
            Function<RequestSlot, EventGaps> eventGaps,
            BodyMemoryLimit memoryLimit,
            DecisionLoop loop,
            EventLog log) {
        mCall = call;
        mSender = sender;
        mStandbys = standbys;
        mEventGaps = eventGaps;
        mMemoryLimit = memoryLimit;
        mLoop = loop;
        mLog = log;
        mLastEventId = call.head().resumeAfter();
    }

    /** Returns status and headers, which are known before the first event is emitted. */
    ResponseHead responseHead() {
        ResponseHead head = mResponseHead;
        if (head == null) {
            throw new IllegalStateException("no server has responded yet");
        }
        return head;
    }

    /** Returns the time from arrival of the call to the first event, or 0 if there was none. */
    long firstEventNanos() {
        return mFirstEventNanos;
    }

    /** Returns the events as they arrive; signals an error if the stream is incomplete. */
    Flux<byte[]> events() {
        return Flux.defer(
                () -> {
                    Duration remaining = mCall.remainingTime(mLoop.clock().nowNanos());
                    AtomicBoolean expired = new AtomicBoolean();
                    Mono<Long> deadline =
                            Mono.delay(remaining, mLoop.scheduler())
                                    .doOnNext(tick -> expired.set(true));
                    return connect()
                            .takeUntilOther(deadline)
                            .concatWith(
                                    Mono.defer(
                                            () ->
                                                    expired.get()
                                                            ? Mono.error(new TimeoutException())
                                                            : Mono.empty()));
                });
    }

    private Flux<byte[]> connect() {
        return mSender.acquireSlot(mCall, MIN_RUN_TIME)
                .flatMapMany(this::receive)
                .onErrorResume(SendFailedException.class, this::resumeOrFail);
    }

    /** Only a resumable stream can continue at another server while its own is silent. */
    private Flux<byte[]> receive(RequestSlot slot) {
        if (!mCall.route().resumable()) {
            return run(slot, () -> {});
        }
        Duration eventGaps = mCall.route().eventGapObjective().multipliedBy(SILENCE_EVENT_GAPS);
        Duration timeout =
                eventGaps.compareTo(MIN_SILENCE_TIMEOUT) < 0 ? MIN_SILENCE_TIMEOUT : eventGaps;
        return new StandbyRace<byte[]>(
                        mCall,
                        mStandbys,
                        timeout,
                        server -> mStandbys.avoid(server, timeout),
                        this::run,
                        () -> mEndIsCertain,
                        mLoop)
                .items(slot);
    }

    /**
     * Returns the new events of one run at a server, whose framing no other run shares.
     *
     * @param onResponse called when the server begins its response
     */
    private Flux<byte[]> run(RequestSlot slot, Runnable onResponse) {
        EventFramer framer = new EventFramer();
        EventGaps gaps = mEventGaps.apply(slot);
        return mSender.send(
                mCall,
                slot,
                mLastEventId,
                (response, chunks) -> {
                    onResponse.run();
                    return readResponse(slot.server(), response, chunks, framer, gaps);
                });
    }

    private Publisher<byte[]> readResponse(
            FleetMember server,
            HttpClientResponse response,
            Flux<byte[]> chunks,
            EventFramer framer,
            EventGaps gaps) {
        int status = response.status().code();
        boolean success = status >= 200 && status < 300;
        if (!success && (mEventReceived || mayTryAnotherServer())) {
            return Flux.error(new SendFailedException(SendFailureKind.UNKNOWN, "status " + status));
        }
        ResponseHead head =
                new ResponseHead(
                        status,
                        HopByHopHeaders.endToEnd(response.responseHeaders()),
                        BodyFraming.of(response.responseHeaders()));
        if (!success) {
            mResponseHead = head;
            mSender.recordFailure(mCall, server);
            return status < 500
                    ? chunks.doOnComplete(() -> mSender.recordAnswerComplete(mCall))
                    : chunks;
        }
        BodyMemoryLimit.Reservation reservation = mMemoryLimit.newReservation();
        return chunks.concatMapIterable(chunk -> frame(framer, reservation, chunk), 1)
                .filter(this::isNew)
                .doOnNext(event -> recordEvent(server, head, gaps, event))
                .map(StreamEvent::bytes)
                .concatWith(Flux.defer(() -> checkEnd(server, response, head, framer)))
                .doFinally(signal -> reservation.release());
    }

    private static List<StreamEvent> frame(
            EventFramer framer, BodyMemoryLimit.Reservation reservation, byte[] chunk) {
        List<StreamEvent> events = framer.accept(chunk);
        if (!reservation.resize(framer.incompleteEventSize())) {
            throw new SendFailedException(
                    SendFailureKind.UNKNOWN,
                    "the incomplete responses of all calls exceed the memory limit");
        }
        return events;
    }

    private boolean mayTryAnotherServer() {
        return mCall.allowsAnotherRun();
    }

    /** Filters out events that a server repeats after a resumption. */
    private boolean isNew(StreamEvent event) {
        return event.id().isEmpty()
                || mLastEventId.isEmpty()
                || event.id().getAsLong() > mLastEventId.getAsLong();
    }

    private void recordEvent(
            FleetMember server, ResponseHead head, EventGaps gaps, StreamEvent event) {
        gaps.recordEvent(mLoop.clock().nowNanos());
        mSender.recordAnswerBegun(mCall, server);
        mStandbys.recordHeard(server);
        mCall.recordEvent(mLoop.clock().nowNanos());
        if (!mEventReceived) {
            mResponseHead = head;
            mEventReceived = true;
            mFirstEventNanos = mLoop.clock().nowNanos() - mCall.arrivedNanos();
            mCall.usage().recordFirstEvent();
        }
        server.health().recordSuccess(mLoop.clock().nowNanos());
        if (event.id().isPresent()) {
            mLastEventId = event.id();
        }
    }

    /**
     * Fails a stream that ends within an event, before its first event, or with its server if only
     * the end of the connection shows the end of the stream.
     */
    private Flux<byte[]> checkEnd(
            FleetMember server,
            HttpClientResponse response,
            ResponseHead head,
            EventFramer framer) {
        BodyFraming framing = head.framing();
        int incompleteBytes = framer.incompleteEventSize();
        boolean endIsCertain = framing != BodyFraming.CONNECTION_END;
        if (incompleteBytes == 0 && endIsCertain) {
            mEndIsCertain = true;
            mSender.recordAnswerComplete(mCall);
            useHead(head);
            return Flux.empty();
        }
        if (incompleteBytes == 0 && hasEvents()) {
            return mSender.hasEnded(server)
                    .flatMapMany(
                            ended ->
                                    ended
                                            ? truncated(server, head, framer, "with its server")
                                            : passOnUncertainEnd(head));
        }
        if (endIsCertain && !isEventStream(response)) {
            mSender.recordAnswerComplete(mCall);
            useHead(head);
            return Flux.just(framer.incompleteEvent());
        }
        return truncated(
                server,
                head,
                framer,
                incompleteBytes == 0 ? "before its first event" : "within an event");
    }

    private Flux<byte[]> passOnUncertainEnd(ResponseHead head) {
        mEndIsCertain = false;
        useHead(head);
        return Flux.empty();
    }

    private Flux<byte[]> truncated(
            FleetMember server, ResponseHead head, EventFramer framer, String where) {
        mLog.log(
                RelayEvent.STREAM_TRUNCATED,
                field("request", mCall.head().id()),
                field("server", server.instance()),
                field("framing", head.framing()),
                field("after_event", mLastEventId.orElse(-1)),
                field("incomplete_bytes", framer.incompleteEventSize()));
        String message = "the stream ended " + where;
        return Flux.error(
                head.framing() == BodyFraming.CONNECTION_END
                        ? SendFailedException.connectionLost(message)
                        : new SendFailedException(SendFailureKind.UNKNOWN, message));
    }

    /** Keeps the head of the first server whose events the caller has. */
    private void useHead(ResponseHead head) {
        if (!mEventReceived) {
            mResponseHead = head;
        }
    }

    private static boolean isEventStream(HttpClientResponse response) {
        return response.responseHeaders()
                .get(HttpHeaderNames.CONTENT_TYPE, "")
                .toLowerCase(Locale.ROOT)
                .startsWith(EVENT_STREAM);
    }

    /** Returns whether the caller has events of this stream, from this call or an earlier one. */
    private boolean hasEvents() {
        return mEventReceived || mLastEventId.isPresent();
    }

    private Flux<byte[]> resumeOrFail(SendFailedException failure) {
        boolean resumable = !mEventReceived || mCall.route().resumable();
        if (!resumable || !mSender.tryRetry(mCall, failure)) {
            return Flux.error(mSender.refusal(mCall, failure));
        }
        if (mEventReceived) {
            mLog.log(
                    RelayEvent.STREAM_RESUMED,
                    field("request", mCall.head().id()),
                    field("after_event", mLastEventId.orElse(-1)),
                    field("server", mCall.lastServer()));
        } else {
            mResponseHead = null;
        }
        return connect();
    }
}
