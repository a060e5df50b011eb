package org.vanillaslip.internal.control.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/**
 * Requests activations from lease holders on other hosts; at most one request per model is pending.
 */
final class ActivationClient {

    // The holder answers from memory, so a longer silence means that it cannot be reached.
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final PeerLinks mPeers;
    private final Map<ModelName, Mono<Either<Refusal, Duration>>> mPendingRequests =
            new HashMap<>();

    ActivationClient(PeerLinks peers) {
        mPeers = peers;
    }

    /** Sends a request to the holder; callers that arrive before its reply share the reply. */
    Mono<Either<Refusal, Duration>> requestActivation(
            String holder, ModelName model, Duration wait) {
        Mono<Either<Refusal, Duration>> pending = mPendingRequests.get(model);
        if (pending != null) {
            return pending;
        }
        Envelope.Builder request = ActivationMessages.request(model, wait, 0);
        Mono<Either<Refusal, Duration>> result =
                mPeers.request(holder, request, TIMEOUT)
                        .map(
                                reply ->
                                        reply.isRight()
                                                ? ActivationMessages.parseReply(reply.get())
                                                : holderUnreachable(model))
                        .doFinally(signal -> mPendingRequests.remove(model))
                        .cache();
        mPendingRequests.put(model, result);
        return result;
    }

    /** Sends arrivals without requesting an activation. */
    void sendArrivals(String holder, ModelName model, int arrivals) {
        mPeers.send(holder, ActivationMessages.request(model, Duration.ZERO, arrivals));
    }

    /** Returns the refusal for a model whose lease holder cannot be reached. */
    static Either<Refusal, Duration> holderUnreachable(ModelName model) {
        String detail = "model " + model + ": no lease holder of its control shard can be reached";
        return Either.left(Refusal.retryable(ResultCode.NO_BACKEND_SERVER, detail, RETRY_AFTER));
    }
}
