package org.vanillaslip.internal.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/** Chooses a backend server by prefix affinity, otherwise by the power of two choices. */
public final class ReplicaSelector {

    /** Load above that of the least loaded server that a cached prefix still outweighs. */
    private static final int MAX_AFFINITY_EXCESS_LOAD = 2;

    private ReplicaSelector() {}

    /** Returns the chosen server, or empty when no candidate has capacity. */
    public static Optional<Choice> choose(
            List<Candidate> candidates, OptionalLong prefixHash, RandomGenerator random) {
        List<Candidate> available = candidates.stream().filter(Candidate::hasCapacity).toList();
        if (available.isEmpty()) {
            return Optional.empty();
        }
        if (available.size() == 1) {
            return Optional.of(new Choice(available.get(0), "only"));
        }
        if (prefixHash.isPresent()) {
            Candidate preferred = preferred(available, prefixHash.getAsLong());
            int minLoad = available.stream().mapToInt(Candidate::load).min().orElse(0);
            if (preferred.load() <= minLoad + MAX_AFFINITY_EXCESS_LOAD) {
                return Optional.of(new Choice(preferred, "prefix"));
            }
        }
        return Optional.of(new Choice(lessLoadedOfTwo(available, random), "two-choices"));
    }

    private static Candidate preferred(List<Candidate> available, long prefixHash) {
        return available.stream()
                .max(
                        Comparator.comparingLong(
                                candidate -> weight(candidate.server().name(), prefixHash)))
                .orElseThrow();
    }

    private static Candidate lessLoadedOfTwo(List<Candidate> available, RandomGenerator random) {
        int first = random.nextInt(available.size());
        int second = (first + 1 + random.nextInt(available.size() - 1)) % available.size();
        Candidate firstCandidate = available.get(first);
        Candidate secondCandidate = available.get(second);
        return firstCandidate.load() <= secondCandidate.load() ? firstCandidate : secondCandidate;
    }

    /** Returns the rendezvous weight, mixed with the finalizer of SplitMix64. */
    private static long weight(String server, long prefixHash) {
        long mixed = prefixHash ^ (server.hashCode() * 0x9E3779B97F4A7C15L);
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
