package org.vanillaslip.internal.platform;

import java.time.Duration;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Parses the header {@code Retry-After} of a throttled call. */
final class RetryAfter {

    /** Used if the header is missing or is a date, because machines' clocks are not compared. */
    private static final Duration DEFAULT = Duration.ofSeconds(1);

    private static final Pattern WHOLE_SECONDS = Pattern.compile("[0-9]{1,9}");

    private RetryAfter() {}

    static Duration parse(@Nullable String header) {
        return header != null && WHOLE_SECONDS.matcher(header).matches()
                ? Duration.ofSeconds(Long.parseLong(header))
                : DEFAULT;
    }
}
