package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.time.Duration;
import org.vanillaslip.Refusal;

/** Names and meanings of the headers that callers and backend servers exchange. */
public interface CallDialect {

    /** Reads the head of a caller's request. */
    Either<Refusal, CallHead> parseRequestHead(HttpHeaders headers);

    /**
     * Writes the head of the request to a backend server; nothing that only hosts may set stays.
     */
    HttpHeaders backendRequestHeaders(HttpHeaders callerHeaders, CallHead head, OutgoingCall call);

    /** Judges the head of a backend server's answer. */
    ResponseOutcome classifyResponse(
            int status, HttpHeaders responseHeaders, String callId, String expectedInstance);

    /** Tells the caller when to come back. */
    void setRetryAfter(HttpHeaders responseHeaders, Duration retryAfter);
}
