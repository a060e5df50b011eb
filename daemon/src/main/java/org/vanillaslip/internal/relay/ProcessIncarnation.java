package org.vanillaslip.internal.relay;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Identifiers that tell the starts of a process apart. */
final class ProcessIncarnation {

    private static final int BYTES = 8;

    private ProcessIncarnation() {}

    static String create(SecureRandom random) {
        byte[] incarnation = new byte[BYTES];
        random.nextBytes(incarnation);
        return HexFormat.of().formatHex(incarnation);
    }
}
