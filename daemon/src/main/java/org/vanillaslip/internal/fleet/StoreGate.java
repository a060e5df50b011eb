package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Calls to the platform's store that wait while it does not answer. One small read at a time finds
 * out whether it is back, so that an outage is not made longer by the calls of all hosts.
 */
final class StoreGate {

    /** A change has to be in force within two seconds after an outage. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    private final Mono<?> mProbe;
    private final DecisionLoop mLoop;
    private final Deque<MonoSink<Void>> mWaiting = new ArrayDeque<>();
    private boolean mClosed;
    private boolean mProbing;

    /**
     * Creates a gate that is open.
     *
     * @param probe a call whose result opens the gate or leaves it closed
     */
    StoreGate(Mono<?> probe, DecisionLoop loop) {
        mProbe = probe;
        mLoop = loop;
    }

    /** Returns when a call may be made: at once, or when the store answers again. */
    Mono<Void> awaitOpen() {
        return Mono.create(
                sink -> {
                    if (!mClosed) {
                        sink.success();
                        return;
                    }
                    mWaiting.add(sink);
                    sink.onCancel(() -> mWaiting.remove(sink));
                    probeLater();
                });
    }

    void close() {
        mClosed = true;
    }

    void open() {
        mClosed = false;
        List<MonoSink<Void>> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(MonoSink::success);
    }

    private void probeLater() {
        if (!mProbing) {
            mProbing = true;
            long interval = PROBE_INTERVAL.toNanos();
            mLoop.scheduler().schedule(this::probe, interval, TimeUnit.NANOSECONDS);
        }
    }

    private void probe() {
        if (mClosed && !mWaiting.isEmpty()) {
            // The store's client logs and counts failed calls.
            mProbe.onErrorComplete()
                    .publishOn(mLoop.scheduler())
                    .doFinally(signal -> handleProbeEnd())
                    .subscribe();
        } else {
            mProbing = false;
        }
    }

    private void handleProbeEnd() {
        mProbing = false;
        if (mClosed && !mWaiting.isEmpty()) {
            probeLater();
        }
    }
}
