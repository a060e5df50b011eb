package org.vanillaslip.internal.attempt;

import java.util.Optional;
import org.vanillaslip.Refusal;

/**
 * An action of an {@link Attempt} with its result.
 *
 * @param outcome present only for REPLAY
 * @param refusal present only for REFUSE
 */
public record AttemptStep(
        AttemptAction action, Optional<AttemptOutcome> outcome, Optional<Refusal> refusal) {

    static AttemptStep of(AttemptAction action) {
        return new AttemptStep(action, Optional.empty(), Optional.empty());
    }

    static AttemptStep replay(AttemptOutcome outcome) {
        return new AttemptStep(AttemptAction.REPLAY, Optional.of(outcome), Optional.empty());
    }

    static AttemptStep refuse(Refusal refusal) {
        return new AttemptStep(AttemptAction.REFUSE, Optional.empty(), Optional.of(refusal));
    }
}
