package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.vanillaslip.ModelName;

/**
 * What the head of a caller's request says.
 *
 * @param id identifies this call; a caller's repeat has another id
 * @param timeLeft how long the caller waits, if it says so
 * @param declaredTokens prompt tokens and largest number of output tokens, if the caller names them
 * @param promptParts ids of the prompt parts, in order
 * @param resumeAfter last event that the caller has already, if it resumes a stream
 */
public record CallHead(
        String id,
        Optional<Duration> timeLeft,
        Optional<ModelName> model,
        OptionalLong declaredTokens,
        List<String> promptParts,
        OptionalLong resumeAfter,
        Optional<String> apiKey) {

    /** Copies the list so that the record is immutable. */
    public CallHead {
        promptParts = List.copyOf(promptParts);
    }
}
