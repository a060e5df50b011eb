package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a share that two hosts use at the same time, and a share that is never reassigned.
 */
class ShareTablePlannerTest {

    private final ShareTable mOneHost =
            next(ShareTable.empty("a", 1000), Set.of("one"), Set.of(), Map.of());

    @Test
    void firstHostGetsTheWholeDomain() {
        assertThat(mOneHost.partsOf("one")).isEqualTo(1000);
    }

    @Test
    void newHostGetsItsShareOnlyAfterTheOtherHostConfirmsItsSmallerShare() {
        ShareTable shrinking = next(mOneHost, Set.of("one", "two"), Set.of(), Map.of());
        assertThat(shrinking.partsOf("one")).isEqualTo(500);
        assertThat(shrinking.partsOf("two")).isZero();
        ShareTable grown =
                next(
                        shrinking,
                        Set.of("one", "two"),
                        Set.of(),
                        Map.of("one", shrinking.generation()));
        assertThat(grown.partsOf("two")).isEqualTo(500);
    }

    @Test
    void unlistedHostKeepsItsShareUntilItCountsAsVanished() {
        ShareTable missing = next(mOneHost, Set.of("two"), Set.of(), Map.of());
        assertThat(missing.partsOf("two")).isZero();
        ShareTable vanished = next(missing, Set.of("two"), Set.of("one"), Map.of());
        assertThat(vanished.partsOf("two")).isEqualTo(1000);
    }

    @Test
    void unchangedInputsReturnTheSameTable() {
        assertThat(next(mOneHost, Set.of("one"), Set.of(), Map.of())).isSameAs(mOneHost);
    }

    private static ShareTable next(
            ShareTable table,
            Set<String> staying,
            Set<String> vanished,
            Map<String, Long> confirmed) {
        return ShareTablePlanner.next(table, staying, vanished, confirmed);
    }

    /**
     * Guards against a remainder without an owner, which makes a request for the whole burst
     * impossible.
     */
    @Test
    void hostsTogetherOwnTheWholeDomain() {
        Set<String> hosts = Set.of("one", "two", "three");
        ShareTable empty = ShareTable.empty("a", ShareTable.TOTAL_PARTS);
        ShareTable table = ShareTablePlanner.next(empty, hosts, Set.of(), Map.of());
        assertThat(table.shares().values().stream().mapToLong(Share::parts).sum())
                .isEqualTo(ShareTable.TOTAL_PARTS);
    }
}
