package org.vanillaslip.internal.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against settled counts that lack or repeat calls. */
class CollectedUsageTest {

    private static final List<String> HOSTS = List.of("a", "b");
    private static final UsageSource A = new UsageSource("a", "1");
    private static final UsageSource B = new UsageSource("b", "1");

    private final CollectedUsage mCollected = new CollectedUsage();

    @Test
    void waitsForAllLiveHostsUntilTheTimeIsUp() {
        record(A, 1, snapshot(7, true, 3));

        assertThat(settle(7, false)).isEmpty();
        Settlement settled = settle(7, true).orElseThrow();
        assertThat(settled.known()).isTrue();
        assertThat(settled.callsByWorkspace()).isEqualTo(Map.of("w", 3L));
        assertThat(settled.counted()).containsExactly("a");
        assertThat(settled.missing()).containsExactly("b");
    }

    @Test
    void repeatedAndReorderedMessagesChangeNothing() {
        record(A, 2, snapshot(7, true, 5));
        record(A, 2, snapshot(7, true, 5));
        record(A, 1, snapshot(7, false, 3));
        record(B, 1, snapshot(7, true, 2));

        assertThat(settle(7, false).orElseThrow().callsByWorkspace()).isEqualTo(Map.of("w", 7L));
    }

    /** Guards against the loss of what a process counted before it ended. */
    @Test
    void bothProcessesOfARestartedHostCount() {
        record(A, 1, snapshot(7, true, 1));
        record(B, 4, snapshot(7, false, 4));
        mCollected.record(new UsageSource("b", "2"), 7, 1, List.of(snapshot(7, true, 2)), 0, 0, 0);

        Settlement settled = settle(7, false).orElseThrow();
        assertThat(settled.callsByWorkspace()).isEqualTo(Map.of("w", 7L));
        assertThat(settled.missing()).containsExactly("b");
    }

    /** Guards against a zero for a window in which processes ran that are gone. */
    @Test
    void aWindowThatNoProcessCountedAsAWholeIsNotKnown() {
        mCollected.record(A, 7, 1, List.of(snapshot(7, true, 2)), 0, 0, 0);
        mCollected.record(B, 7, 1, List.of(snapshot(7, true, 2)), 0, 0, 0);

        assertThat(settle(7, false)).isEmpty();
        assertThat(settle(7, true).orElseThrow().known()).isFalse();
        assertThat(mCollected.settle(7, HOSTS, HOSTS, false, true, 0).orElseThrow().known())
                .isTrue();
    }

    @Test
    void returnsTheCallsThatCameTooLate() {
        record(A, 1, snapshot(7, false, 3));

        assertThat(mCollected.record(A, 1, 2, List.of(snapshot(7, true, 5)), 6, 7, 0)).isEqualTo(2);
        assertThat(mCollected.record(B, 1, 1, List.of(snapshot(7, true, 5)), 7, 7, 0)).isZero();
    }

    private void record(UsageSource source, long sequence, UsageSnapshot snapshot) {
        mCollected.record(source, 5, sequence, List.of(snapshot), 0, 0, 0);
    }

    private Optional<Settlement> settle(long window, boolean timeIsUp) {
        return mCollected.settle(window, HOSTS, HOSTS, timeIsUp, false, 0);
    }

    private static UsageSnapshot snapshot(long window, boolean complete, long calls) {
        return new UsageSnapshot(window, complete, Map.of("w", calls));
    }
}
