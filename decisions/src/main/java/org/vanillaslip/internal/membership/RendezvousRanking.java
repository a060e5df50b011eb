package org.vanillaslip.internal.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Ranks hosts for a key by rendezvous hashing. All hosts with the same list compute the same
 * ranking, and the removal of a host moves only the keys for which it ranked first.
 */
public final class RendezvousRanking {

    /** Returns the distinct hosts, the preferred host for the key first. */
    public List<String> rank(String key, Collection<String> hosts) {
        return hosts.stream()
                .distinct()
                .map(host -> new Score(host, hash(key, host)))
                .sorted(Comparator.comparingLong(Score::value).thenComparing(Score::host))
                .map(Score::host)
                .toList();
    }

    /** Returns the preferred host for the key, or empty when there are no hosts. */
    public Optional<String> first(String key, Collection<String> hosts) {
        return hosts.stream()
                .map(host -> new Score(host, hash(key, host)))
                .min(Comparator.comparingLong(Score::value).thenComparing(Score::host))
                .map(Score::host);
    }

    private static long hash(String key, String host) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        try {
            // Not a CRC: it is linear, so the rankings of two keys would be correlated.
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, keyBytes.length));
            digest.update(keyBytes);
            digest.update(host.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest.digest()).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
        }
    }

    private record Score(String host, long value) {}
}
