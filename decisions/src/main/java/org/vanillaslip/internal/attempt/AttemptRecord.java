package org.vanillaslip.internal.attempt;

import java.util.Optional;

/**
 * The stored record of one non-repeatable call.
 *
 * @param nonce identifies the attempt that created the record
 * @param fingerprint digest of the request, to detect a key that is reused for another request
 * @param outcome recorded response, empty until there is one
 */
public record AttemptRecord(String nonce, String fingerprint, Optional<AttemptOutcome> outcome) {

    /** Returns this record with the outcome. */
    public AttemptRecord withOutcome(AttemptOutcome recorded) {
        return new AttemptRecord(nonce, fingerprint, Optional.of(recorded));
    }
}
