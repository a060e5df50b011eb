package org.vanillaslip.internal.runtime;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Generates identifiers that are unique across all hosts and restarts. They do not depend on the
 * configured random seed: a restarted host would otherwise repeat its earlier nonces and mistake
 * records of others for its own.
 */
final class Identifiers {

    private static final int IDENTIFIER_BYTES = 16;

    private final SecureRandom mRandom = new SecureRandom();

    /** Returns a new identifier with 32 hexadecimal digits. */
    String nextIdentifier() {
        byte[] bytes = new byte[IDENTIFIER_BYTES];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns a random number other than 0. */
    long nextNumber() {
        long number = mRandom.nextLong();
        return number == 0 ? 1 : number;
    }

    /** Returns the random generator of the identifiers. */
    RandomGenerator randomGenerator() {
        return mRandom;
    }
}
