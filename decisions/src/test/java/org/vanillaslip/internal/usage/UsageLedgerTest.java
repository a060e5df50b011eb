package org.vanillaslip.internal.usage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against a window that is recorded twice. */
class UsageLedgerTest {

    private static final UsageLedger EMPTY = new UsageLedger(0, 100, List.of());

    @Test
    void refusesAWindowThatWasClosed() {
        UsageLedger ledger = EMPTY.close(102, List.of(window(102, 1)));

        assertThatThrownBy(() -> ledger.close(103, List.of(window(101, 1))))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> ledger.close(103, List.of(window(102, 2))))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> ledger.close(101, List.of()))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void keepsTheLastWindowsAndThoseThatAreNotAccepted() {
        UsageLedger ledger = EMPTY.close(150, windows(101, 150));

        assertThat(ledger.windows()).hasSize(50);
        assertThat(ledger.accept(Set.copyOf(numbers(101, 120))).close(151, windows(151, 151)))
                .extracting(kept -> kept.windows().get(0).window())
                .isEqualTo(121L);
        assertThat(ledger.accept(Set.copyOf(numbers(101, 150))).close(151, List.of()).windows())
                .hasSize(UsageLedger.MIN_KEPT);
        assertThat(EMPTY.close(300, windows(101, 300)).windows()).hasSize(UsageLedger.MAX_KEPT);
    }

    /** Guards against reports that are lost although a host still knows them. */
    @Test
    void aRestoredLedgerGetsBackWhatIsKnownAndClosesTheRest() {
        UsageLedger known = EMPTY.close(105, windows(101, 105));
        UsageLedger copy = EMPTY.close(102, windows(101, 102));

        UsageLedger rewritten = copy.afterRestore(1, Optional.of(known), 108);

        assertThat(rewritten.restores()).isEqualTo(1);
        assertThat(rewritten.closedThrough()).isEqualTo(108);
        assertThat(rewritten.windows()).isEqualTo(known.windows());
        assertThat(copy.afterRestore(1, Optional.of(known), 103).closedThrough()).isEqualTo(105);
    }

    @Test
    void namesTheEarliestReportThatIsNotAccepted() {
        UsageLedger ledger = EMPTY.close(104, windows(101, 104)).accept(Set.of(101L));

        assertThat(ledger.firstUnaccepted(Set.of(102L)).orElseThrow().window()).isEqualTo(103);
    }

    private static List<SettledWindow> windows(long first, long last) {
        return numbers(first, last).stream().map(number -> window(number, 1)).toList();
    }

    private static List<Long> numbers(long first, long last) {
        return LongStream.rangeClosed(first, last).boxed().toList();
    }

    private static SettledWindow window(long number, long calls) {
        TreeMap<String, Long> counts = new TreeMap<>();
        counts.put("w", calls);
        return new SettledWindow(number, counts, "h", 1, new TreeSet<>(), new TreeSet<>(), false);
    }
}
