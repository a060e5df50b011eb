package org.vanillaslip.internal.runtime;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Identifiers that are unique over all hosts and all starts. They never come from the configured
 * random seed: a restarted host would issue its earlier nonces again and take foreign records for
 * its own.
 */
final class Identifiers {

    private static final int IDENTIFIER_BYTES = 16;

    private final SecureRandom mRandom = new SecureRandom();

    /** Returns a new identifier of 32 hexadecimal digits. */
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

    /** Returns the generator behind the identifiers. */
    RandomGenerator randomGenerator() {
        return mRandom;
    }
}
