package org.vanillaslip.internal.metrics;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import org.vanillaslip.internal.peer.PeerFailure;
import org.vanillaslip.internal.peer.PeerHandler;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Counts the quota tokens that this host lends and borrows. */
public final class MeteredPeerLinks implements PeerLinks {

    private final PeerLinks mLinks;
    private final DaemonMetrics mMetrics;

    /** Creates links that count the tokens in the grants on the given links. */
    public MeteredPeerLinks(PeerLinks links, DaemonMetrics metrics) {
        mLinks = links;
        mMetrics = metrics;
    }

    @Override
    public Mono<Either<PeerFailure, Envelope>> request(
            String host, Envelope.Builder request, Duration timeout) {
        QuotaLimitKind limit = QuotaLimitKind.ofLimit(request.getQuotaRequest().getLimit());
        return mLinks.request(host, request, timeout)
                .doOnNext(result -> result.peek(reply -> countBorrowed(limit, reply)));
    }

    @Override
    public void send(String host, Envelope.Builder message) {
        mLinks.send(host, message);
    }

    @Override
    public void handle(Envelope.BodyCase bodyCase, PeerHandler handler) {
        mLinks.handle(
                bodyCase,
                request -> handler.handle(request).doOnNext(reply -> countGranted(request, reply)));
    }

    @Override
    public Set<String> liveHosts() {
        return mLinks.liveHosts();
    }

    private void countBorrowed(QuotaLimitKind limit, Envelope reply) {
        if (reply.hasQuotaGrant()) {
            mMetrics.tokensBorrowed(limit, reply.getQuotaGrant().getTokens());
        }
    }

    private void countGranted(Envelope request, Envelope.Builder reply) {
        if (reply.hasQuotaGrant()) {
            mMetrics.tokensGranted(
                    QuotaLimitKind.ofLimit(request.getQuotaRequest().getLimit()),
                    reply.getQuotaGrant().getTokens());
        }
    }
}
