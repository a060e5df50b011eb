package org.vanillaslip.internal.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/** Chooses a backend server by prefix affinity, else by power of two choices. */
public final class ReplicaChoice {

    /** More requests than this on top of the least loaded server cost more than a cached prefix. */
    private static final int AFFINITY_SLACK = 2;

    private ReplicaChoice() {}

    /** Returns the choice, or empty when no candidate has room. */
    public static Optional<Choice> choose(
            List<Candidate> candidates, OptionalLong prefixHash, RandomGenerator random) {
        List<Candidate> open = candidates.stream().filter(Candidate::hasRoom).toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        if (open.size() == 1) {
            return Optional.of(new Choice(open.get(0), "only"));
        }
        if (prefixHash.isPresent()) {
            Candidate preferred = preferred(open, prefixHash.getAsLong());
            int least = open.stream().mapToInt(Candidate::load).min().orElse(0);
            if (preferred.load() <= least + AFFINITY_SLACK) {
                return Optional.of(new Choice(preferred, "prefix"));
            }
        }
        return Optional.of(new Choice(lessLoadedOfTwo(open, random), "two-choices"));
    }

    private static Candidate preferred(List<Candidate> open, long prefixHash) {
        return open.stream()
                .max(
                        Comparator.comparingLong(
                                candidate -> weight(candidate.server().name(), prefixHash)))
                .orElseThrow();
    }

    private static Candidate lessLoadedOfTwo(List<Candidate> open, RandomGenerator random) {
        int first = random.nextInt(open.size());
        int second = (first + 1 + random.nextInt(open.size() - 1)) % open.size();
        Candidate one = open.get(first);
        Candidate other = open.get(second);
        return one.load() <= other.load() ? one : other;
    }

    /** Rendezvous weight; the multiplier and shifts are the finalizer of SplitMix64. */
    private static long weight(String server, long prefixHash) {
        long mixed = prefixHash ^ (server.hashCode() * 0x9E3779B97F4A7C15L);
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
