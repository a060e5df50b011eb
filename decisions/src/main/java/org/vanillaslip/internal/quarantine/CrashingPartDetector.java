package org.vanillaslip.internal.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Finds the parts of prompts and the repeated calls under which servers crash.
 *
 * <p>A server that crashes takes all its calls with it. The call that crashed it was not answered
 * completely, and neither were its repetitions or others with the same crashing part, wherever they
 * ran. A subject, which is a part or a call, is found when several servers crashed under it, not
 * all at the same moment, and none was answered since. If several subjects qualify, the one that
 * was answered the longest time ago is found first, and the crashes that it explains no longer
 * count against others: sound calls share the other parts of the calls that crash servers, and may
 * go unanswered because of those crashes.
 */
public final class CrashingPartDetector {

    private static final int MIN_SERVERS = 3;

    /** A call that was answered lately is more likely to be lost by the crashes of another one. */
    private static final int MIN_SERVERS_OF_ANSWERED_CALL = 6;

    /** So many servers hardly crash under two calls by chance. */
    private static final int MIN_SERVERS_OF_SIMILAR_CALLS = 6;

    /** A single call that is repeated meets as many crashes as there are attempts. */
    private static final int MIN_CALLS = 2;

    /** Servers that crash at the same moment have a common cause, such as their rack. */
    private static final int MIN_MOMENTS = 2;

    private static final Duration MOMENT = Duration.ofMillis(100);

    private final CrashRecord mRecord = new CrashRecord();

    /** Records a call that a server did not answer completely. */
    public void recordUnanswered(UnansweredCall call, long nowNanos) {
        mRecord.add(call, nowNanos);
    }

    /** Records that a call with the subject was answered at the time. */
    public void recordAnswer(String subject, long answeredNanos) {
        mRecord.recordAnswer(subject, answeredNanos);
    }

    /** Returns whether an answer to the subject at the time is later than those recorded. */
    public boolean isNewerAnswer(String subject, long answeredNanos) {
        return mRecord.isNewerAnswer(subject, answeredNanos);
    }

    /** Records that the process of the server has ended. */
    public void recordServerEnded(String server) {
        mRecord.recordServerEnded(server);
    }

    /** Returns the servers that ended connections and are not known to have ended themselves. */
    public List<String> unconfirmedServers(long nowNanos) {
        return mRecord.unconfirmedServers(nowNanos);
    }

    /**
     * Returns whether a server has crashed under the subject since it was last answered.
     *
     * @param answeredNanos an answer that is not recorded yet, if there is one
     */
    public boolean hasCrashes(String subject, Optional<Long> answeredNanos, long nowNanos) {
        return mRecord.crashCount(subject) > 0
                && crashes(subject, nowNanos).stream()
                        .anyMatch(
                                crash ->
                                        answeredNanos.isEmpty()
                                                || answeredNanos.get() - crash.firstSeenNanos()
                                                        <= 0);
    }

    /** Returns the subjects that one more crash may turn into a finding; answers to them matter. */
    public Set<String> suspects(long nowNanos) {
        mRecord.removeOldCrashes(nowNanos);
        Set<String> suspects = new TreeSet<>();
        for (String subject : mRecord.subjects()) {
            if (mRecord.crashCount(subject) >= MIN_SERVERS - 1
                    && mRecord.crashesSinceLastAnswer(subject, nowNanos).size()
                            >= MIN_SERVERS - 1) {
                suspects.add(subject);
            }
        }
        return suspects;
    }

    /**
     * Returns a part or call under which servers crash.
     *
     * @param untilNanos later crashes do not count, because answers may not be known yet
     */
    public Optional<String> findCrashingPart(long untilNanos) {
        Comparator<String> likelihood =
                Comparator.<String>comparingLong(mRecord::lastAnswerRank)
                        .thenComparing(subject -> -crashes(subject, untilNanos).size());
        Optional<String> part =
                candidates(subject -> !CallSubject.isCall(subject))
                        .filter(subject -> partCrashesServers(subject, untilNanos))
                        .min(likelihood.thenComparing(Comparator.naturalOrder()));
        Optional<String> call = findCrashingCall(untilNanos);
        if (part.isEmpty() || call.isEmpty()) {
            return part.or(() -> call);
        }
        return likelihood.compare(call.get(), part.get()) < 0 ? call : part;
    }

    /** Drops the crashes that the subject explains. */
    public void explainCrashes(String subject) {
        mRecord.explainCrashes(subject);
    }

    /** Ignores the calls that the server did not answer, because its crash has been explained. */
    public void explainCrash(String server) {
        mRecord.explainCrash(server);
    }

    /** Returns the number of crashes that are kept as evidence. */
    int crashCount() {
        return mRecord.crashCount();
    }

    private Stream<String> candidates(Predicate<String> kind) {
        return mRecord.subjects().stream()
                .filter(subject -> mRecord.crashCount(subject) >= MIN_SERVERS)
                .filter(kind);
    }

    private boolean partCrashesServers(String part, long untilNanos) {
        List<ServerCrash> crashes = crashes(part, untilNanos);
        Set<String> calls = new HashSet<>();
        crashes.forEach(crash -> calls.addAll(crash.callsWith(part)));
        return crashes.size() >= MIN_SERVERS
                && calls.size() >= MIN_CALLS
                && calls.stream().noneMatch(call -> explainsAll(call, part, crashes))
                && moments(crashes) >= MIN_MOMENTS;
    }

    private static boolean explainsAll(String call, String part, List<ServerCrash> crashes) {
        return crashes.stream().allMatch(crash -> crash.callsWith(part).contains(call));
    }

    /** Returns the call under which most servers crashed, unless another one is as likely. */
    private Optional<String> findCrashingCall(long untilNanos) {
        List<String> calls =
                candidates(CallSubject::isCall)
                        .filter(subject -> callCrashesServers(subject, untilNanos))
                        .sorted(
                                Comparator.<String>comparingInt(
                                                subject ->
                                                        -endedServers(subject, untilNanos).size())
                                        .thenComparingLong(mRecord::lastAnswerRank)
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        if (calls.isEmpty()) {
            return Optional.empty();
        }
        List<ServerCrash> crashes = endedServers(calls.get(0), untilNanos);
        boolean ambiguous =
                calls.size() > 1
                        && crashes.size() < MIN_SERVERS_OF_SIMILAR_CALLS
                        && crashes.equals(endedServers(calls.get(1), untilNanos))
                        && mRecord.lastAnswerRank(calls.get(0))
                                == mRecord.lastAnswerRank(calls.get(1));
        return ambiguous ? Optional.empty() : Optional.of(calls.get(0));
    }

    /**
     * Returns whether servers crash under the call. Calls that were sent before the first crash may
     * all be lost by one cause; one that was sent after it shows that the crashes go with the call.
     */
    private boolean callCrashesServers(String call, long untilNanos) {
        List<ServerCrash> crashes = endedServers(call, untilNanos);
        int minServers = mRecord.isAnswered(call) ? MIN_SERVERS_OF_ANSWERED_CALL : MIN_SERVERS;
        return crashes.stream().anyMatch(crash -> crash.sentAfterCrash(call))
                && separateCrashes(crashes) >= minServers;
    }

    /** Counts the servers that crash in one failure domain at the same moment once. */
    private static int separateCrashes(List<ServerCrash> crashes) {
        int count = 0;
        for (int index = 0; index < crashes.size(); index++) {
            ServerCrash crash = crashes.get(index);
            boolean sharesCause =
                    crashes.subList(0, index).stream()
                            .anyMatch(
                                    earlier ->
                                            !crash.failureDomain().isEmpty()
                                                    && crash.failureDomain()
                                                            .equals(earlier.failureDomain())
                                                    && crash.firstSeenNanos()
                                                                    - earlier.firstSeenNanos()
                                                            <= MOMENT.toNanos());
            count += sharesCause ? 0 : 1;
        }
        return count;
    }

    private List<ServerCrash> endedServers(String subject, long untilNanos) {
        return crashes(subject, untilNanos).stream().filter(ServerCrash::serverEnded).toList();
    }

    private List<ServerCrash> crashes(String subject, long untilNanos) {
        return mRecord.crashesSinceLastAnswer(subject, untilNanos);
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
}
