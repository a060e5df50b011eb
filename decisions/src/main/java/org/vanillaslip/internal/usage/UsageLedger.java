package org.vanillaslip.internal.usage;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The recorded reports. A window is closed when it is recorded or left out; only later windows can
 * be recorded, so that no window is recorded twice.
 *
 * @param restores number of restores of the store before the ledger was written; fewer than those
 *     of the store if the store has lost later changes
 * @param closedThrough last closed window
 * @param windows the last recorded reports, in order
 */
public record UsageLedger(long restores, long closedThrough, List<SettledWindow> windows) {

    /** Number of the last windows that are kept for operators and for later holders. */
    public static final int MIN_KEPT = 24;

    /** Bounds the stored object while the platform accepts no reports. */
    public static final int MAX_KEPT = 72;

    /** Copies the windows so that the record is immutable. */
    public UsageLedger {
        windows = windows.stream().sorted(Comparator.comparingLong(SettledWindow::window)).toList();
    }

    /** Returns the ledger with later windows closed, of which the added ones are recorded. */
    public UsageLedger close(long through, Collection<SettledWindow> added) {
        boolean closed =
                added.stream()
                        .anyMatch(
                                window ->
                                        window.window() <= closedThrough
                                                || window.window() > through);
        if (closed || through < closedThrough) {
            throw new IllegalArgumentException(
                    "a window up to " + closedThrough + " would be closed again");
        }
        return new UsageLedger(
                restores, through, kept(Stream.concat(windows.stream(), added.stream()).toList()));
    }

    /** Returns the ledger with the windows accepted. */
    public UsageLedger accept(Set<Long> accepted) {
        return new UsageLedger(
                restores,
                closedThrough,
                windows.stream()
                        .map(
                                window ->
                                        accepted.contains(window.window())
                                                ? window.asAccepted()
                                                : window)
                        .toList());
    }

    /**
     * Returns the ledger to be written to a store that was restored and may have lost reports that
     * were sent.
     *
     * @param known ledger that was confirmed before; of a window in both, its report counts
     * @param through last window that may have been sent
     */
    public UsageLedger afterRestore(long storeRestores, Optional<UsageLedger> known, long through) {
        TreeMap<Long, SettledWindow> merged = new TreeMap<>();
        windows.forEach(window -> merged.put(window.window(), window));
        known.map(UsageLedger::windows)
                .orElse(List.of())
                .forEach(window -> merged.put(window.window(), window));
        long lastKnown = known.map(UsageLedger::closedThrough).orElse(closedThrough);
        return new UsageLedger(
                storeRestores,
                Math.max(through, Math.max(closedThrough, lastKnown)),
                kept(List.copyOf(merged.values())));
    }

    /** Returns the report of the window, if it is among those that are kept. */
    public Optional<SettledWindow> window(long number) {
        return windows.stream().filter(window -> window.window() == number).findFirst();
    }

    /** Returns the earliest report that is neither accepted nor among those left out. */
    public Optional<SettledWindow> firstUnaccepted(Set<Long> except) {
        return windows.stream()
                .filter(window -> !window.accepted() && !except.contains(window.window()))
                .findFirst();
    }

    private static List<SettledWindow> kept(List<SettledWindow> windows) {
        int accepted = 0;
        while (accepted < windows.size() && windows.get(accepted).accepted()) {
            accepted++;
        }
        int removed = Math.min(accepted, Math.max(0, windows.size() - MIN_KEPT));
        removed = Math.max(removed, windows.size() - MAX_KEPT);
        return windows.subList(Math.max(0, removed), windows.size());
    }
}
