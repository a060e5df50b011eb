package org.vanillaslip.internal.attempt;

import io.vavr.control.Either;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.admission.KeyDigest;

/** Validates idempotency keys, and derives object names and request fingerprints. */
public final class AttemptKey {

    private static final int MAX_LENGTH = 255;

    private AttemptKey() {}

    /** Returns the value of an Idempotency-Key header, or a refusal if it is invalid. */
    public static Either<Refusal, String> check(String value) {
        boolean printable = value.chars().allMatch(character -> character > ' ' && character < 127);
        if (value.isEmpty() || value.length() > MAX_LENGTH || !printable) {
            return Either.left(
                    Refusal.of(ResultCode.INVALID_IDEMPOTENCY_KEY, "length " + value.length()));
        }
        return Either.right(value);
    }

    /** Returns the object name of the record: a digest, so that any key yields a valid name. */
    public static String objectName(Workspace workspace, String idempotencyKey) {
        return KeyDigest.of(workspace.name() + "\n" + idempotencyKey);
    }

    /** Returns the digest of the forwarded method, path, query and body. */
    public static String fingerprint(String method, String path, String query, byte[] body) {
        return KeyDigest.of(String.join("\n", method, path, query, KeyDigest.of(body)));
    }
}
