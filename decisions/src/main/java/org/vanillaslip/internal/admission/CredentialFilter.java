package org.vanillaslip.internal.admission;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Removes the caller's key from everything that is forwarded to a backend server. */
public final class CredentialFilter {

    private static final Set<String> ALLOWED_HEADERS =
            Set.of("accept", "accept-language", "content-type", "idempotency-key", "traceparent");

    private final Optional<String> mKey;

    /** Creates a filter for one request; the key is empty when the request has none. */
    public CredentialFilter(Optional<String> key) {
        mKey = key;
    }

    /** Returns the allowed headers whose values don't contain the key; names are in lower case. */
    public Map<String, String> headers(Map<String, String> headers) {
        Map<String, String> forwarded = new LinkedHashMap<>();
        headers.forEach(
                (name, value) -> {
                    if (ALLOWED_HEADERS.contains(name) && !containsKey(value)) {
                        forwarded.put(name, value);
                    }
                });
        return forwarded;
    }

    /** Returns the query or form text without the parameters that contain the key. */
    public String query(String query) {
        return Arrays.stream(query.split("&"))
                .filter(parameter -> !parameter.isEmpty() && !containsKey(parameter))
                .collect(Collectors.joining("&"));
    }

    /** Returns whether the text contains the key, verbatim or percent-encoded. */
    public boolean containsKey(String text) {
        return mKey.isPresent()
                && (text.contains(mKey.get()) || decoded(text).contains(mKey.get()));
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            return text;
        }
    }
}
