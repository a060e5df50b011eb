package org.vanillaslip.internal.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds the parts of prompts under which servers crash.
 *
 * <p>A server that crashes takes all its calls with it. The call that crashed it had not been
 * answered yet, and neither have others with the same part, wherever they ran. A part is found when
 * several servers crashed under it, not all at the same moment, and no call with it has been
 * answered since. If several parts qualify, the one that was answered the longest time ago is found
 * first, and the crashes that it explains no longer count against others: sound calls share the
 * other parts of the calls that crash servers, and may go unanswered because of those crashes.
 */
public final class CrashingPartDetector {

    private static final int MIN_SERVERS = 3;

    /** A single call that is repeated meets as many crashes as there are attempts. */
    private static final int MIN_CALLS = 2;

    /** Servers that crash at the same moment have a common cause, such as their rack. */
    private static final int MIN_MOMENTS = 2;

    private static final Duration MOMENT = Duration.ofMillis(100);
    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final int MAX_CRASHES = 512;
    private static final int MAX_PARTS = 8192;

    /** In the order of their times. */
    private final Map<String, ServerCrash> mCrashes = new LinkedHashMap<>();

    private final Map<String, Set<ServerCrash>> mCrashesByPart = new HashMap<>();
    private final Map<String, Long> mLastAnswers = new BoundedMap<>(MAX_PARTS);
    private final Set<String> mExplainedServers =
            Collections.newSetFromMap(new BoundedMap<>(MAX_CRASHES));

    /** Records a call that a server did not answer. */
    public void recordUnanswered(UnansweredCall call, long nowNanos) {
        removeOldCrashes(nowNanos);
        if (call.promptParts().isEmpty() || mExplainedServers.contains(call.server())) {
            return;
        }
        ServerCrash crash = mCrashes.get(call.server());
        if (crash == null) {
            crash = new ServerCrash(nowNanos);
            mCrashes.put(call.server(), crash);
        }
        crash.add(call);
        for (String part : call.promptParts()) {
            mCrashesByPart.computeIfAbsent(part, added -> new LinkedHashSet<>()).add(crash);
        }
    }

    /** Records that a call with the part was answered at the time. */
    public void recordAnswer(String part, long answeredNanos) {
        mLastAnswers.merge(
                part, answeredNanos, (known, added) -> added - known > 0 ? added : known);
    }

    /** Returns whether an answer to the part at the time is later than those recorded. */
    public boolean isNewerAnswer(String part, long answeredNanos) {
        Long known = mLastAnswers.get(part);
        return known == null || answeredNanos - known > 0;
    }

    /** Returns the parts that one more crash may turn into a finding; answers to them matter. */
    public Set<String> suspects(long nowNanos) {
        removeOldCrashes(nowNanos);
        Set<String> suspects = new TreeSet<>();
        mCrashesByPart.forEach(
                (part, crashes) -> {
                    if (crashes.size() >= MIN_SERVERS - 1
                            && crashesSinceLastAnswer(part, nowNanos).size() >= MIN_SERVERS - 1) {
                        suspects.add(part);
                    }
                });
        return suspects;
    }

    /**
     * Returns a part under which servers crash.
     *
     * @param untilNanos later crashes do not count, because answers may not be known yet
     */
    public Optional<String> findCrashingPart(long untilNanos) {
        return mCrashesByPart.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= MIN_SERVERS)
                .map(Map.Entry::getKey)
                .filter(part -> crashesServers(part, untilNanos))
                .min(
                        Comparator.<String>comparingLong(this::lastAnswerRank)
                                .thenComparing(
                                        part -> -crashesSinceLastAnswer(part, untilNanos).size())
                                .thenComparing(Comparator.naturalOrder()));
    }

    /** Drops the crashes that the part explains. */
    public void explainCrashes(String part) {
        Collection<ServerCrash> explained = mCrashesByPart.getOrDefault(part, Set.of());
        List<String> servers =
                mCrashes.entrySet().stream()
                        .filter(crash -> explained.contains(crash.getValue()))
                        .map(Map.Entry::getKey)
                        .toList();
        servers.forEach(this::explainCrash);
    }

    /** Ignores the calls that the server did not answer, because its crash has been explained. */
    public void explainCrash(String server) {
        mExplainedServers.add(server);
        ServerCrash crash = mCrashes.remove(server);
        if (crash != null) {
            removeFromIndex(crash);
        }
    }

    /** Returns the number of crashes that are kept as evidence. */
    int crashCount() {
        return mCrashes.size();
    }

    private boolean crashesServers(String part, long untilNanos) {
        List<ServerCrash> crashes = crashesSinceLastAnswer(part, untilNanos);
        Set<String> calls = new HashSet<>();
        crashes.forEach(crash -> calls.addAll(crash.callsWith(part)));
        return crashes.size() >= MIN_SERVERS
                && calls.size() >= MIN_CALLS
                && moments(crashes) >= MIN_MOMENTS;
    }

    private static int moments(List<ServerCrash> crashes) {
        int moments = 0;
        long start = 0;
        for (ServerCrash crash : crashes) {
            if (moments == 0 || crash.firstSeenNanos() - start > MOMENT.toNanos()) {
                moments++;
                start = crash.firstSeenNanos();
            }
        }
        return moments;
    }

    private List<ServerCrash> crashesSinceLastAnswer(String part, long untilNanos) {
        Long answered = mLastAnswers.get(part);
        return mCrashesByPart.getOrDefault(part, Set.of()).stream()
                .filter(crash -> untilNanos - crash.firstSeenNanos() >= 0)
                .filter(crash -> answered == null || answered - crash.firstSeenNanos() <= 0)
                .sorted(Comparator.comparingLong(ServerCrash::firstSeenNanos))
                .toList();
    }

    private long lastAnswerRank(String part) {
        return mLastAnswers.getOrDefault(part, Long.MIN_VALUE);
    }

    private void removeOldCrashes(long nowNanos) {
        var crashes = mCrashes.values().iterator();
        while (crashes.hasNext()) {
            ServerCrash oldest = crashes.next();
            if (nowNanos - oldest.firstSeenNanos() <= RETENTION.toNanos()
                    && mCrashes.size() < MAX_CRASHES) {
                return;
            }
            crashes.remove();
            removeFromIndex(oldest);
        }
    }

    private void removeFromIndex(ServerCrash crash) {
        for (String part : crash.parts()) {
            Set<ServerCrash> crashes = mCrashesByPart.getOrDefault(part, Set.of());
            crashes.remove(crash);
            if (crashes.isEmpty()) {
                mCrashesByPart.remove(part);
            }
        }
    }
}
