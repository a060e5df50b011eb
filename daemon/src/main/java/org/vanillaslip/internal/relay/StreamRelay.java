package org.vanillaslip.internal.relay;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.vanillaslip.internal.backend.forward.SilenceTimeout;
import org.vanillaslip.internal.fleet.FleetMember;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.internal.stream.EventFramer;
import org.vanillaslip.internal.stream.StreamEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClientResponse;

/** One stream of events, over several servers if the route allows that. */
final class StreamRelay {

    /** Time that an engine needs at least for the first events. */
    private static final Duration SHORTEST_RUN = Duration.ofMillis(200);

    /** A server that is silent for several pauses has stopped or is cut off. */
    private static final int SILENT_PAUSES = 4;

    private static final Duration SHORTEST_SILENCE = Duration.ofMillis(1000);

    private final RelayCall mCall;
    private final CallSender mSender;
    private final ResponseMemoryLimit mMemory;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private @Nullable ResponseHead mHead;
    private OptionalLong mLastEvent;
    private boolean mStarted;
    private long mFirstEventNanos;

    StreamRelay(
            RelayCall call,
            CallSender sender,
            ResponseMemoryLimit memory,
            DecisionLoop loop,
            EventLog log) {
        mCall = call;
        mSender = sender;
        mMemory = memory;
        mLoop = loop;
        mLog = log;
        mLastEvent = call.head().resumeAfter();
    }

    /** Returns status and headers; set before the first event. */
    ResponseHead head() {
        ResponseHead head = mHead;
        if (head == null) {
            throw new IllegalStateException("no server has answered");
        }
        return head;
    }

    /** Returns the time to the first event, or 0 when there was none. */
    long firstEventNanos() {
        return mFirstEventNanos;
    }

    /** Returns the events as they arrive; ends with an error when they are not complete. */
    Flux<byte[]> events() {
        return Flux.defer(
                () -> {
                    Duration left = mCall.left(mLoop.clock().nowNanos());
                    AtomicBoolean expired = new AtomicBoolean();
                    Mono<Long> end =
                            Mono.delay(left, mLoop.scheduler()).doOnNext(tick -> expired.set(true));
                    return connect()
                            .takeUntilOther(end)
                            .concatWith(
                                    Mono.defer(
                                            () ->
                                                    expired.get()
                                                            ? Mono.error(new TimeoutException())
                                                            : Mono.empty()));
                });
    }

    private Flux<byte[]> connect() {
        return mSender.server(mCall, SHORTEST_RUN)
                .flatMapMany(this::receive)
                .onErrorResume(SendFailedException.class, this::resumeOrFail);
    }

    private Flux<byte[]> receive(FleetMember member) {
        EventFramer framer = new EventFramer();
        return mSender.send(
                mCall,
                member,
                mLastEvent,
                (response, parts) -> answer(member, response, parts, framer));
    }

    private Publisher<byte[]> answer(
            FleetMember member,
            HttpClientResponse response,
            Flux<byte[]> parts,
            EventFramer framer) {
        int status = response.status().code();
        boolean success = status >= 200 && status < 300;
        if (!success && (mStarted || mayTryAnother())) {
            return Flux.error(new SendFailedException(SendFailureKind.UNKNOWN, "status " + status));
        }
        if (mHead == null) {
            mHead = new ResponseHead(status, HopByHopHeaders.endToEnd(response.responseHeaders()));
        }
        if (!success) {
            member.health().recordFailure(mLoop.clock().nowNanos());
            return parts;
        }
        ResponseMemoryLimit.HeldBytes held = mMemory.hold();
        return bounded(parts)
                .concatMapIterable(part -> framed(framer, held, part), 1)
                .filter(this::isNew)
                .doOnNext(event -> arrived(member, event))
                .map(StreamEvent::bytes)
                .concatWith(Flux.defer(() -> rest(framer)))
                .doFinally(signal -> held.release());
    }

    private static List<StreamEvent> framed(
            EventFramer framer, ResponseMemoryLimit.HeldBytes held, byte[] part) {
        List<StreamEvent> events = framer.accept(part);
        if (!held.resize(framer.incompleteEventSize())) {
            throw new SendFailedException(
                    SendFailureKind.UNKNOWN, "too many bytes of events that do not end are held");
        }
        return events;
    }

    private boolean mayTryAnother() {
        return mCall.allowsSecondRun();
    }

    /** Only a stream that may continue elsewhere gains from giving up on a silent server. */
    private Flux<byte[]> bounded(Flux<byte[]> parts) {
        if (!mCall.route().resumable()) {
            return parts;
        }
        Duration pauses = mCall.route().eventGapObjective().multipliedBy(SILENT_PAUSES);
        Duration bound = pauses.compareTo(SHORTEST_SILENCE) < 0 ? SHORTEST_SILENCE : pauses;
        return new SilenceTimeout(mLoop.scheduler(), mLoop.clock(), bound).apply(parts);
    }

    /** A server that resumes may repeat events that were already passed on. */
    private boolean isNew(StreamEvent event) {
        return event.id().isEmpty()
                || mLastEvent.isEmpty()
                || event.id().getAsLong() > mLastEvent.getAsLong();
    }

    private void arrived(FleetMember member, StreamEvent event) {
        if (!mStarted) {
            mStarted = true;
            mFirstEventNanos = mLoop.clock().nowNanos() - mCall.arrivedNanos();
        }
        member.health().recordSuccess(mLoop.clock().nowNanos());
        if (event.id().isPresent()) {
            mLastEvent = event.id();
        }
    }

    private static Flux<byte[]> rest(EventFramer framer) {
        byte[] rest = framer.incompleteEvent();
        return rest.length == 0 ? Flux.empty() : Flux.just(rest);
    }

    private Flux<byte[]> resumeOrFail(SendFailedException failure) {
        boolean resumable = !mStarted || mCall.route().resumable();
        if (!resumable || !mSender.mayRepeat(mCall, failure)) {
            return Flux.error(mSender.refusal(mCall, failure));
        }
        if (mStarted) {
            mLog.log(
                    RelayEvent.STREAM_RESUMED,
                    field("request", mCall.head().id()),
                    field("after_event", mLastEvent.orElse(-1)),
                    field("server", mCall.server()));
        } else {
            mHead = null;
        }
        return connect();
    }
}
