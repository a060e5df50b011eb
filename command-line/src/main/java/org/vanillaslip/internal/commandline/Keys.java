package org.vanillaslip.internal.commandline;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.regex.Pattern;

/** Creates keys of workspaces and computes their digests. */
final class Keys {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final int RANDOM_BYTES = 32;

    private Keys() {}

    static String create(SecureRandom random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    static String digest(String key) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("Every Java platform supports SHA-256.", exception);
        }
    }

    static boolean isDigest(String text) {
        return DIGEST.matcher(text).matches();
    }
}
