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
 * Holds back calls to the platform's store while it does not answer. Meanwhile only one small read
 * at a time probes the store, so that the calls of all hosts do not prolong the outage.
 */
final class StoreGate {

    /** Short enough that a configuration change is in force within two seconds after an outage. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    private final Mono<?> mProbe;
    private final DecisionLoop mLoop;
    private final Deque<MonoSink<Void>> mWaiting = new ArrayDeque<>();
    private boolean mClosed;
    private boolean mProbing;

    /**
     * Creates a gate that is open.
     *
     * @param probe call to the store, whose result must lead to {@link #open} if the store answers
     */
    StoreGate(Mono<?> probe, DecisionLoop loop) {
        mProbe = probe;
        mLoop = loop;
    }

    /** Completes at once if the gate is open, otherwise when it opens. */
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
            // Errors are ignored here, as the store's client logs and counts failed calls.
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
