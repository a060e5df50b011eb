package org.vanillaslip.internal.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Recent crashes of servers, the calls that ran under them, and answers to the same subjects. */
final class CrashRecord {

    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final int MAX_CRASHES = 512;

    /** A call on a crashed server has as many entries as subjects. */
    private static final int MAX_ENTRIES = 16384;

    private static final int MAX_SUBJECTS = 8192;

    /** In the order of their times. */
    private final Map<String, ServerCrash> mCrashes = new LinkedHashMap<>();

    private final Map<String, Set<ServerCrash>> mCrashesBySubject = new HashMap<>();
    private final Map<String, Long> mLastAnswers = new BoundedMap<>(MAX_SUBJECTS);
    private final Set<String> mExplainedServers =
            Collections.newSetFromMap(new BoundedMap<>(MAX_CRASHES));
    private final Set<String> mEndedServers =
            Collections.newSetFromMap(new BoundedMap<>(MAX_CRASHES));
    private int mEntries;

    void add(UnansweredCall call, long nowNanos) {
        removeOldCrashes(nowNanos);
        if (call.subjects().isEmpty() || mExplainedServers.contains(call.server())) {
            return;
        }
        ServerCrash crash = mCrashes.get(call.server());
        if (crash == null) {
            crash = new ServerCrash(call.server(), call.failureDomain(), nowNanos);
            mCrashes.put(call.server(), crash);
        }
        if (mEndedServers.contains(call.server())) {
            crash.setServerEnded();
        }
        crash.add(call);
        for (String subject : call.subjects()) {
            Set<ServerCrash> crashes =
                    mCrashesBySubject.computeIfAbsent(subject, added -> new LinkedHashSet<>());
            mEntries += crashes.add(crash) ? 1 : 0;
        }
    }

    void recordAnswer(String subject, long answeredNanos) {
        mLastAnswers.merge(
                subject, answeredNanos, (known, added) -> added - known > 0 ? added : known);
    }

    /** Returns whether an answer at the time is later than those recorded. */
    boolean isNewerAnswer(String subject, long answeredNanos) {
        Long known = mLastAnswers.get(subject);
        return known == null || answeredNanos - known > 0;
    }

    /** Returns a number that is higher the later the last answer was. */
    long lastAnswerRank(String subject) {
        return mLastAnswers.getOrDefault(subject, Long.MIN_VALUE);
    }

    boolean isAnswered(String subject) {
        return mLastAnswers.containsKey(subject);
    }

    void recordServerEnded(String server) {
        mEndedServers.add(server);
        ServerCrash crash = mCrashes.get(server);
        if (crash != null) {
            crash.setServerEnded();
        }
    }

    /** Returns the servers that ended connections and are not known to have ended themselves. */
    List<String> unconfirmedServers(long nowNanos) {
        removeOldCrashes(nowNanos);
        return mCrashes.values().stream()
                .filter(crash -> !crash.serverEnded())
                .map(ServerCrash::server)
                .toList();
    }

    /** Returns the subjects of all crashes. */
    Collection<String> subjects() {
        return mCrashesBySubject.keySet();
    }

    /**
     * Returns the crashes up to the time under calls with the subject, if none was answered since.
     */
    List<ServerCrash> crashesSinceLastAnswer(String subject, long untilNanos) {
        Long answered = mLastAnswers.get(subject);
        return mCrashesBySubject.getOrDefault(subject, Set.of()).stream()
                .filter(crash -> untilNanos - crash.firstSeenNanos() >= 0)
                .filter(crash -> answered == null || answered - crash.firstSeenNanos() <= 0)
                .sorted(Comparator.comparingLong(ServerCrash::firstSeenNanos))
                .toList();
    }

    /** Returns how many servers crashed under calls with the subject. */
    int crashCount(String subject) {
        return mCrashesBySubject.getOrDefault(subject, Set.of()).size();
    }

    int crashCount() {
        return mCrashes.size();
    }

    /** Drops the crashes under calls with the subject. */
    void explainCrashes(String subject) {
        new ArrayList<>(mCrashesBySubject.getOrDefault(subject, Set.of()))
                .forEach(crash -> explainCrash(crash.server()));
    }

    /** Drops the crash of the server and ignores further calls on it. */
    void explainCrash(String server) {
        mExplainedServers.add(server);
        ServerCrash crash = mCrashes.remove(server);
        if (crash != null) {
            removeFromIndex(crash);
        }
    }

    void removeOldCrashes(long nowNanos) {
        Iterator<ServerCrash> crashes = mCrashes.values().iterator();
        while (crashes.hasNext()) {
            ServerCrash oldest = crashes.next();
            if (nowNanos - oldest.firstSeenNanos() <= RETENTION.toNanos()
                    && mCrashes.size() < MAX_CRASHES
                    && mEntries < MAX_ENTRIES) {
                return;
            }
            crashes.remove();
            removeFromIndex(oldest);
        }
    }

    private void removeFromIndex(ServerCrash crash) {
        for (String subject : crash.subjects()) {
            Set<ServerCrash> crashes = mCrashesBySubject.getOrDefault(subject, Set.of());
            mEntries -= crashes.remove(crash) ? 1 : 0;
            if (crashes.isEmpty()) {
                mCrashesBySubject.remove(subject);
            }
        }
    }
}
