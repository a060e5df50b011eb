package org.vanillaslip.internal.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The calls that one server did not answer completely before it ended their connections. */
final class ServerCrash {

    private final String mServer;
    private final String mFailureDomain;
    private final long mFirstSeenNanos;
    private final Map<String, Set<String>> mCallsBySubject = new HashMap<>();
    private final Set<String> mSentAfterCrash = new HashSet<>();
    private boolean mServerEnded;

    ServerCrash(String server, String failureDomain, long firstSeenNanos) {
        mServer = server;
        mFailureDomain = failureDomain;
        mFirstSeenNanos = firstSeenNanos;
    }

    String server() {
        return mServer;
    }

    String failureDomain() {
        return mFailureDomain;
    }

    long firstSeenNanos() {
        return mFirstSeenNanos;
    }

    /** Returns whether the process is known to have ended, not only its connections. */
    boolean serverEnded() {
        return mServerEnded;
    }

    void setServerEnded() {
        mServerEnded = true;
    }

    void add(UnansweredCall call) {
        for (String subject : call.subjects()) {
            mCallsBySubject.computeIfAbsent(subject, added -> new HashSet<>()).add(call.callId());
            if (call.sentAfterCrash()) {
                mSentAfterCrash.add(subject);
            }
        }
    }

    Set<String> subjects() {
        return mCallsBySubject.keySet();
    }

    Set<String> callsWith(String subject) {
        return mCallsBySubject.getOrDefault(subject, Set.of());
    }

    /** Returns whether a call with the subject was sent after an earlier crash under it. */
    boolean sentAfterCrash(String subject) {
        return mSentAfterCrash.contains(subject);
    }
}
