package org.vanillaslip.internal.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The calls that one server did not answer before it ended their connections. */
final class ServerCrash {

    private final long mFirstSeenNanos;
    private final Map<String, Set<String>> mCallsByPart = new HashMap<>();

    ServerCrash(long firstSeenNanos) {
        mFirstSeenNanos = firstSeenNanos;
    }

    long firstSeenNanos() {
        return mFirstSeenNanos;
    }

    void add(UnansweredCall call) {
        call.promptParts()
                .forEach(
                        part ->
                                mCallsByPart
                                        .computeIfAbsent(part, added -> new HashSet<>())
                                        .add(call.callId()));
    }

    Set<String> parts() {
        return mCallsByPart.keySet();
    }

    Set<String> callsWith(String part) {
        return mCallsByPart.getOrDefault(part, Set.of());
    }
}
