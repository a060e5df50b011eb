package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.time.Duration;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.fleet.ServerNotice;

/** Reads and writes the HTTP headers of messages from and to callers and backend servers. */
public interface CallDialect {

    /** Parses the headers of a caller's request, or returns why the request is refused. */
    Either<Refusal, CallHead> parseRequestHead(HttpHeaders headers);

    /**
     * Returns the headers of the request to a backend server. Headers that only hosts may set are
     * removed from those of the caller.
     */
    HttpHeaders backendRequestHeaders(HttpHeaders callerHeaders, CallHead head, OutgoingCall call);

    /** Determines from status and headers of a response whether the request ran. */
    ResponseOutcome classifyResponse(
            int status, HttpHeaders responseHeaders, String callId, String expectedInstance);

    /** Returns what a server says of itself in the head of a response. */
    ServerNotice parseServerNotice(int status, HttpHeaders responseHeaders);

    /** Sets the header that tells a caller when to retry. */
    void setRetryAfter(HttpHeaders responseHeaders, Duration retryAfter);
}
