package org.vanillaslip.internal.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing: all hosts with the same list of hosts choose the same host for a name. */
public final class RendezvousHash {

    private RendezvousHash() {}

    /** Returns the host with the highest weight for the name. */
    public static Optional<String> choose(String name, Collection<String> hosts) {
        return hosts.stream()
                .max(
                        Comparator.comparingLong((String host) -> weight(name, host))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static long weight(String name, String host) {
        long hash = 0xcbf29ce484222325L;
        String text = name + '\n' + host;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        // FNV-1a alone orders similar names similarly; the finalizer of SplitMix64 mixes the bits.
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
