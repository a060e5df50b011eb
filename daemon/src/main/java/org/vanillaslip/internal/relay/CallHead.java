package org.vanillaslip.internal.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.vanillaslip.ModelName;

/**
 * Contents of the headers of a caller's request.
 *
 * @param id identifies this call; a retry by the caller has another id
 * @param timeLeft how long the caller waits, if stated
 * @param declaredTokens prompt tokens and largest number of output tokens, if stated
 * @param promptParts ids of the prompt parts, in order
 * @param resumeAfter id of the last event that the caller has received, if it resumes a stream
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
