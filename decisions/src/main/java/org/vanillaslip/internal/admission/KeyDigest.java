package org.vanillaslip.internal.admission;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests as lower-case hexadecimal text. */
public final class KeyDigest {

    private KeyDigest() {}

    /** Returns the digest of a text in UTF-8. */
    public static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the digest of the given bytes. */
    public static String of(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("this Java runtime does not provide SHA-256", missing);
        }
    }
}
