package org.vanillaslip.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;

/** Tests the order in which hosts become relays. */
class RankedHostsTest {

    private static final FailureDomain DOMAIN = new FailureDomain("d0");

    /** Guards against relays whose links are too small for what all other hosts receive. */
    @Test
    void hostsWithLargerLinksComeFirst() {
        List<Host> hosts =
                IntStream.range(0, 25)
                        .mapToObj(index -> host("h" + index, index < 2 ? 200 : 7))
                        .toList();

        List<String> ranked = rank(hosts.get(10), hosts);

        assertThat(ranked).hasSize(25);
        assertThat(ranked.subList(0, 2)).containsExactlyInAnyOrder("h0", "h1");
    }

    /** Guards against hosts that disagree on the relays while one of them is not listed yet. */
    @Test
    void allHostsRankListedHostsInTheSameOrder() {
        List<Host> hosts =
                IntStream.range(0, 10).mapToObj(index -> host("h" + index, index % 3)).toList();

        assertThat(hosts.stream().map(self -> rank(self, hosts)).distinct()).hasSize(1);
        assertThat(rank(hosts.get(0), hosts.subList(1, 10))).isEqualTo(rank(hosts.get(1), hosts));
    }

    private static List<String> rank(Host self, List<Host> hosts) {
        return RankedHosts.of(self, hosts, new RendezvousRanking())
                .hostsByDomain()
                .getOrDefault(DOMAIN, List.of());
    }

    private static Host host(String name, double linkMegabits) {
        return new Host(name, DOMAIN, "", false, linkMegabits);
    }
}
