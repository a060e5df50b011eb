package org.vanillaslip.internal.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * Time limits of the answer to a call.
 *
 * @param firstPart time from the request to the first part of the body; a store may send the head
 *     while it waits for changes
 * @param silence time between two parts of the body
 * @param whole time from the request to the end of the answer; empty for answers of any length,
 *     which take as long as their link needs
 */
public record AnswerTimeLimits(Duration firstPart, Duration silence, Optional<Duration> whole) {

    /** Returns the limits of an answer that is short on any link. */
    public static AnswerTimeLimits ofWhole(Duration whole) {
        return new AnswerTimeLimits(whole, whole, Optional.of(whole));
    }

    /** Returns the limits of an answer whose length is unknown. */
    public static AnswerTimeLimits ofSilence(Duration firstPart, Duration silence) {
        return new AnswerTimeLimits(firstPart, silence, Optional.empty());
    }
}
