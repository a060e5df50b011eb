package org.vanillaslip.internal.control.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.vanillaslip.internal.peer.PeerFailure;
import org.vanillaslip.internal.peer.PeerHandler;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Links between hosts in one process; a host can be disconnected. */
final class FakePeerNetwork {

    private final Map<String, PeerHandler> mHandlers = new HashMap<>();
    private final Set<String> mDisconnected = new HashSet<>();
    private final Scheduler mScheduler;

    FakePeerNetwork(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    void disconnect(String host) {
        mDisconnected.add(host);
    }

    void reconnect(String host) {
        mDisconnected.remove(host);
    }

    void handle(String host, PeerHandler handler) {
        mHandlers.put(host, handler);
    }

    PeerLinks linksOf(String self) {
        return new PeerLinks() {
            @Override
            public Mono<Either<PeerFailure, Envelope>> request(
                    String host, Envelope.Builder request, Duration timeout) {
                if (!liveHosts().contains(host)) {
                    return Mono.just(Either.left(PeerFailure.UNREACHABLE));
                }
                return mHandlers
                        .get(host)
                        .handle(request.setSender(self).build())
                        .map(reply -> Either.<PeerFailure, Envelope>right(reply.build()))
                        .publishOn(mScheduler);
            }

            @Override
            public void send(String host, Envelope.Builder message) {
                request(host, message, Duration.ZERO).subscribe();
            }

            @Override
            public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
                FakePeerNetwork.this.handle(self, handler);
            }

            @Override
            public Set<String> liveHosts() {
                Set<String> live = new HashSet<>(mHandlers.keySet());
                live.removeAll(mDisconnected);
                live.remove(self);
                return mDisconnected.contains(self) ? Set.of() : live;
            }
        };
    }
}
