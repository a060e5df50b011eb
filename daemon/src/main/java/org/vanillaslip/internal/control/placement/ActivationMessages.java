package org.vanillaslip.internal.control.placement;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.messages.ActivationReply;
import org.vanillaslip.messages.ActivationRequest;
import org.vanillaslip.messages.Envelope;

/** Converts activation requests and replies to and from messages. */
final class ActivationMessages {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private ActivationMessages() {}

    static Envelope.Builder request(ModelName model, Duration wait, int arrivals) {
        return Envelope.newBuilder()
                .setActivationRequest(
                        ActivationRequest.newBuilder()
                                .setModel(model.model())
                                .setAdapter(model.adapter().orElse(""))
                                .setWaitMillis((int) Math.min(wait.toMillis(), Integer.MAX_VALUE))
                                .setArrivals(arrivals));
    }

    static ModelName requestedModel(ActivationRequest request) {
        Optional<String> adapter =
                Optional.of(request.getAdapter()).filter(name -> !name.isEmpty());
        return new ModelName(request.getModel(), adapter);
    }

    static Envelope.Builder reply(Either<Refusal, Duration> result) {
        ActivationReply.Builder reply = ActivationReply.newBuilder().setAccepted(result.isRight());
        if (result.isRight()) {
            reply.setExpectedWaitMillis((int) result.get().toMillis());
        } else {
            reply.setResultCode(result.getLeft().code().number())
                    .setDetail(result.getLeft().detail());
        }
        return Envelope.newBuilder().setActivationReply(reply);
    }

    static Either<Refusal, Duration> parseReply(Envelope envelope) {
        ActivationReply reply = envelope.getActivationReply();
        if (reply.getAccepted()) {
            return Either.right(Duration.ofMillis(reply.getExpectedWaitMillis()));
        }
        ResultCode code =
                Arrays.stream(ResultCode.values())
                        .filter(value -> value.number() == reply.getResultCode())
                        .findFirst()
                        .orElse(ResultCode.NO_BACKEND_SERVER);
        return Either.left(Refusal.retryable(code, reply.getDetail(), RETRY_AFTER));
    }
}
