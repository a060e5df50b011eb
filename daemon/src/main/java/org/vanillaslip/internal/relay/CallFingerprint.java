package org.vanillaslip.internal.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Identifies a call and its repetitions, at any host, by method, host name, path, caller and body.
 * It is keyed with the caller's key, so that no caller can produce the fingerprint of another's
 * call.
 */
final class CallFingerprint {

    private static final String ALGORITHM = "HmacSHA256";
    private static final String KEY_PREFIX = "call of ";
    private static final int MAX_BYTES = 16;

    private CallFingerprint() {}

    /**
     * Returns the fingerprint as hexadecimal text.
     *
     * @param apiKey the caller's key, or nothing on routes for anonymous callers
     */
    static String of(ReceivedCall call, Optional<String> apiKey) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            byte[] key = bytes(KEY_PREFIX + apiKey.orElse(""));
            mac.init(new SecretKeySpec(key, ALGORITHM));
            add(mac, bytes(call.method().name()));
            add(mac, bytes(call.host()));
            add(mac, bytes(call.uri()));
            add(mac, call.bodyDigest());
            return HexFormat.of().formatHex(mac.doFinal(), 0, MAX_BYTES);
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, missing);
        }
    }

    /** Adds the length as well, so that no two lists of values are added as the same bytes. */
    private static void add(Mac mac, byte[] value) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(value.length).flip());
        mac.update(value);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
