package org.vanillaslip.internal.queue;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Recognizes repetitions of calls that this host has refused, once for each refusal. */
public final class ReturningCalls {

    /** 30 s: the longest {@code Retry-After} is 10 s, and callers may wait longer. */
    private static final long MEMORY_NANOS = 30_000_000_000L;

    /** Bounds the memory; as many calls as a full queue holds by default. */
    private static final int MAX_CALLS = 2_000;

    private final Map<String, Refused> mRefused = new LinkedHashMap<>();

    /** Records that the call was refused before it got a server. */
    public void recordRefused(CallProfile call, long nowNanos) {
        if (call.fingerprint().isEmpty()) {
            return;
        }
        Refused earlier = mRefused.remove(call.fingerprint());
        int count = earlier == null ? 1 : earlier.count() + 1;
        mRefused.put(call.fingerprint(), new Refused(count, nowNanos));
        Iterator<Refused> oldest = mRefused.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = nowNanos - oldest.next().nanos() > MEMORY_NANOS;
            if (!expired && mRefused.size() <= MAX_CALLS) {
                break;
            }
            oldest.remove();
        }
    }

    /** Returns whether the call repeats a refused one, and forgets that refusal. */
    public boolean recordReturn(CallProfile call, long nowNanos) {
        Refused refused = mRefused.remove(call.fingerprint());
        if (refused == null || nowNanos - refused.nanos() > MEMORY_NANOS) {
            return false;
        }
        if (refused.count() > 1) {
            mRefused.put(call.fingerprint(), new Refused(refused.count() - 1, refused.nanos()));
        }
        return true;
    }

    private record Refused(int count, long nanos) {}
}
