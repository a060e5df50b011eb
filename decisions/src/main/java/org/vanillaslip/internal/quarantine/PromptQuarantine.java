package org.vanillaslip.internal.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parts of prompts and calls that no server may get for a while. */
public final class PromptQuarantine {

    /**
     * A part or call that is kept from servers.
     *
     * @param remaining time until calls with the part are sent again
     */
    public record Entry(String part, Duration remaining) {}

    private static final int MAX_PARTS = 256;

    private final Map<String, Long> mEndsByPart = new BoundedMap<>(MAX_PARTS);
    private final Map<String, Long> mReleases = new BoundedMap<>(MAX_PARTS);

    /** Adds a part or extends its time; returns whether the part was not in quarantine. */
    public boolean add(Entry entry, long nowNanos) {
        removeEnded(nowNanos);
        mReleases.remove(entry.part());
        long end = nowNanos + entry.remaining().toNanos();
        Long known = mEndsByPart.get(entry.part());
        if (known == null || end - known > 0) {
            mEndsByPart.put(entry.part(), end);
        }
        return known == null;
    }

    /** Ends the quarantine of a part; returns whether it was in quarantine. */
    public boolean release(String part, long nowNanos) {
        removeEnded(nowNanos);
        mReleases.put(part, nowNanos);
        return mEndsByPart.remove(part) != null;
    }

    /** Returns whether a quarantine of the part that began at the time has been ended. */
    public boolean isReleased(String part, long beganNanos) {
        Long released = mReleases.get(part);
        return released != null && released - beganNanos >= 0;
    }

    /** Returns the parts that were released after the time. */
    public List<String> releasedSince(long sinceNanos) {
        return mReleases.entrySet().stream()
                .filter(release -> release.getValue() - sinceNanos > 0)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns the first of the parts that is in quarantine. */
    public Optional<Entry> find(List<String> parts, long nowNanos) {
        if (mEndsByPart.isEmpty()) {
            return Optional.empty();
        }
        removeEnded(nowNanos);
        return parts.stream()
                .filter(mEndsByPart::containsKey)
                .findFirst()
                .map(part -> entry(part, nowNanos));
    }

    /** Returns all parts in quarantine. */
    public List<Entry> entries(long nowNanos) {
        removeEnded(nowNanos);
        return List.copyOf(mEndsByPart.keySet()).stream()
                .sorted()
                .map(part -> entry(part, nowNanos))
                .toList();
    }

    private Entry entry(String part, long nowNanos) {
        return new Entry(part, Duration.ofNanos(mEndsByPart.getOrDefault(part, 0L) - nowNanos));
    }

    private void removeEnded(long nowNanos) {
        mEndsByPart.values().removeIf(end -> end - nowNanos <= 0);
    }
}
