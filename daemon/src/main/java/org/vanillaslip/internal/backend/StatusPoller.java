package org.vanillaslip.internal.backend;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.runtime.DecisionLoop;

/**
 * Polls the status of servers with at most one request in flight per server. Reports are therefore
 * delivered in the order in which they were requested.
 */
public final class StatusPoller {

    private final DecisionLoop mLoop;
    private final EngineClient mClient;
    private final Consumer<EngineStatus> mListener;
    private final Map<String, Long> mRequestedNanos = new HashMap<>();
    private final Set<String> mInFlight = new HashSet<>();

    /** Creates a poller; the listener is called on the decision loop. */
    public StatusPoller(DecisionLoop loop, EngineClient client, Consumer<EngineStatus> listener) {
        mLoop = loop;
        mClient = client;
        mListener = listener;
    }

    /** Requests the status unless a request is in flight or was made within the interval. */
    public void pollIfDue(BackendServer server, Duration interval) {
        long now = mLoop.clock().nowNanos();
        Long lastRequestedNanos = mRequestedNanos.get(server.name());
        if (mInFlight.contains(server.name())
                || lastRequestedNanos != null && now - lastRequestedNanos < interval.toNanos()) {
            return;
        }
        mRequestedNanos.put(server.name(), now);
        mInFlight.add(server.name());
        mClient.status(server, now)
                .publishOn(mLoop.scheduler())
                .doFinally(
                        signal -> mLoop.scheduler().schedule(() -> mInFlight.remove(server.name())))
                .subscribe(status -> status.ifPresent(mListener));
    }
}
