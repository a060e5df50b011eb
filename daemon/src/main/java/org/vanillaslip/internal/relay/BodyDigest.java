package org.vanillaslip.internal.relay;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Digests a body while its chunks arrive. */
final class BodyDigest {

    private static final String ALGORITHM = "SHA-256";

    private final MessageDigest mDigest;

    BodyDigest() {
        try {
            mDigest = MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, missing);
        }
    }

    void add(byte[] chunk) {
        mDigest.update(chunk);
    }

    /** Returns the digest of all chunks. */
    byte[] finish() {
        return mDigest.digest();
    }
}
