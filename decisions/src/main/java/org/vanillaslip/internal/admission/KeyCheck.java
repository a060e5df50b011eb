package org.vanillaslip.internal.admission;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Route;

/** Authenticates a request: reads the key from its headers and maps it to a workspace. */
public final class KeyCheck {

    private static final String BEARER = "bearer ";

    private KeyCheck() {}

    /** Returns the key from Authorization or X-Api-Key; header names are in lower case. */
    public static Optional<String> presentedKey(Map<String, String> headers) {
        String authorization = headers.getOrDefault("authorization", "").trim();
        if (authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return nonBlank(authorization.substring(BEARER.length()));
        }
        return nonBlank(headers.getOrDefault("x-api-key", ""));
    }

    /** Returns the caller, or a refusal if the key is missing or unknown. */
    public static Either<Refusal, Caller> check(
            Configuration configuration, Route route, Optional<String> key) {
        if (route.open()) {
            return Either.right(new Caller(Optional.empty(), Optional.empty()));
        }
        if (key.isEmpty()) {
            return Either.left(Refusal.of(ResultCode.MISSING_KEY, route.name()));
        }
        String digest = KeyDigest.of(key.get());
        return configuration
                .workspaceByKeyDigest(digest)
                .<Either<Refusal, Caller>>map(
                        entry ->
                                Either.right(
                                        new Caller(
                                                Optional.of(entry.workspace()),
                                                Optional.of(digest))))
                .orElseGet(() -> Either.left(Refusal.of(ResultCode.UNKNOWN_KEY, route.name())));
    }

    /** Returns whether the key of the caller still belongs to the same workspace. */
    public static boolean stillValid(Configuration configuration, Caller caller) {
        return caller.keyDigest()
                .map(
                        digest ->
                                configuration
                                        .workspaceByKeyDigest(digest)
                                        .map(entry -> entry.workspace())
                                        .equals(caller.workspace()))
                .orElse(true);
    }

    private static Optional<String> nonBlank(String text) {
        return Optional.of(text.trim()).filter(trimmed -> !trimmed.isEmpty());
    }
}
