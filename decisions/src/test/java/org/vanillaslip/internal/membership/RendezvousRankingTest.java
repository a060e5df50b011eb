package org.vanillaslip.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against keys that move although their host remains, and against uneven spread. */
class RendezvousRankingTest {

    private final RendezvousRanking mRanking = new RendezvousRanking();
    private final List<String> mHosts =
            IntStream.range(0, 8).mapToObj(number -> "host-" + number).toList();

    @Test
    void movesOnlyTheKeysOfARemovedHost() {
        List<String> remaining = new ArrayList<>(mHosts);
        remaining.remove("host-3");
        for (int key = 0; key < 200; key++) {
            List<String> expected = new ArrayList<>(mRanking.rank("key-" + key, mHosts));
            expected.remove("host-3");
            assertThat(mRanking.rank("key-" + key, remaining)).isEqualTo(expected);
            assertThat(mRanking.first("key-" + key, remaining)).contains(expected.get(0));
        }
    }

    @Test
    void spreadsKeysOverAllHosts() {
        Map<String, Long> counts =
                IntStream.range(0, 8000)
                        .mapToObj(key -> mRanking.first("key-" + key, mHosts).orElseThrow())
                        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        assertThat(counts.values())
                .hasSize(8)
                .allSatisfy(count -> assertThat(count).isBetween(850L, 1150L));
    }
}
