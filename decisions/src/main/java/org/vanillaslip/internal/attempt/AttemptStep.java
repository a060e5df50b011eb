package org.vanillaslip.internal.attempt;

import java.util.Optional;
import org.vanillaslip.Refusal;

/**
 * A decision of the attempt protocol.
 *
 * @param outcome present for REPLAY
 * @param refusal present for REFUSE
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
