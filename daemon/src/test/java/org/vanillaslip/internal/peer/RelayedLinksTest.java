package org.vanillaslip.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.membership.RelayRoles;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Guards that news reaches all hosts though each has links to few of them. */
class RelayedLinksTest {

    /** Links that were opened while the list was incomplete are closed after 10 s. */
    private static final Duration SETTLED = Duration.ofSeconds(14);

    /** One gather interval of each hop, far above the delays of the links. */
    private static final Duration HOPS = Duration.ofMillis(50);

    /** Three missed heartbeats, a tick of the roles, a new link, and a told membership. */
    private static final Duration REPLACED = Duration.ofMillis(7500);

    @ParameterizedTest
    @CsvSource({"6, 3", "8, 4", "30, 5", "95, 5", "300, 7"})
    void aMessageToAllReachesAllHostsOverFewLinks(int hosts, int domains) {
        RelayWorld world = new RelayWorld(hosts, domains, 1);
        world.run(SETTLED);

        assertThat(world.reached(world.members().get(0), HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, world.members().get(0)));
        for (RelayWorld.Member member : world.members()) {
            int expected =
                    member.network().relay()
                            ? hosts / domains + 1 + 2 * domains
                            : RelayRoles.RELAYS_PER_DOMAIN;
            assertThat(world.links(member)).as(member.name()).isLessThanOrEqualTo(expected);
        }
    }

    /** Guards against messages that grow with the square of the hosts. */
    @Test
    void messagesOfAnIdleHostDoNotGrowWithTheNumberOfHosts() {
        assertThat(messagesPerHostAndSecond(300)).isLessThan(1.3 * messagesPerHostAndSecond(100));
    }

    @Test
    void aLostRelayIsReplaced() {
        RelayWorld world = new RelayWorld(95, 5, 2);
        world.run(SETTLED);
        RelayWorld.Member sender = plain(world);
        world.kill(world.relays().get(0));
        world.kill(world.relays().get(3));
        world.run(REPLACED);

        assertThat(world.relays()).hasSize(10);
        assertThat(world.reached(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, sender));
    }

    /** Guards against a host that believes in relays that only look alive. */
    @Test
    void bothRelaysOfADomainMayBeSuspendedTogether() {
        RelayWorld world = new RelayWorld(95, 5, 3);
        world.run(SETTLED);
        RelayWorld.Member sender = plain(world);
        world.relays().stream()
                .filter(relay -> relay.domain().equals(sender.domain()))
                .forEach(world::freeze);
        world.run(REPLACED);

        assertThat(world.reached(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, sender));
    }

    @Test
    void aMessageForOneHostFindsItsWayBetweenPlainHosts() {
        RelayWorld world = new RelayWorld(95, 5, 4);
        world.run(SETTLED);
        RelayWorld.Member receiver = plain(world);
        Set<String> heard = new TreeSet<>();
        receiver.links()
                .handle(
                        Envelope.BodyCase.DEMAND_REPORT,
                        message -> {
                            heard.add(message.getSender());
                            return Mono.empty();
                        });
        world.run(HOPS);
        world.members()
                .forEach(
                        member ->
                                member.links()
                                        .send(
                                                receiver.name(),
                                                Envelope.newBuilder()
                                                        .setDemandReport(
                                                                DemandReport
                                                                        .getDefaultInstance())));
        world.run(HOPS);

        assertThat(heard).containsExactlyInAnyOrderElementsOf(others(world, receiver));
    }

    /** Two domains cannot reach each other while the others reach both. */
    @Test
    void aMessageForOneHostTakesADetourAroundABrokenPath() {
        RelayWorld world = new RelayWorld(30, 3, 5);
        world.run(SETTLED);
        world.connect(
                (one, other) ->
                        one.domain().equals(other.domain())
                                || one.domain().name().equals("d2")
                                || other.domain().name().equals("d2"));
        world.run(REPLACED);
        RelayWorld.Member receiver = plain(world, "d1");
        Set<String> heard = new TreeSet<>();
        receiver.links()
                .handle(
                        Envelope.BodyCase.DEMAND_REPORT,
                        message -> {
                            heard.add(message.getSender());
                            return Mono.empty();
                        });
        world.run(HOPS);
        RelayWorld.Member sender = plain(world, "d0");
        sender.links()
                .send(
                        receiver.name(),
                        Envelope.newBuilder().setDemandReport(DemandReport.getDefaultInstance()));
        world.run(HOPS);

        assertThat(heard).containsExactly(sender.name());
    }

    @Test
    void aDomainThatIsCutOffStaysConnectedWithin() {
        RelayWorld world = new RelayWorld(30, 3, 6);
        world.run(SETTLED);
        world.connect(
                (one, other) ->
                        one.domain().name().equals("d0") == other.domain().name().equals("d0"));
        world.run(REPLACED);
        RelayWorld.Member sender = plain(world, "d0");

        assertThat(world.reached(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(
                        others(world, sender).stream()
                                .filter(name -> domainOf(world, name).equals("d0"))
                                .toList());
        world.connect((one, other) -> true);
        world.run(REPLACED);
        assertThat(world.reached(sender, HOPS))
                .containsExactlyInAnyOrderElementsOf(others(world, sender));
    }

    @Test
    void anAddedHostIsReachedWithinTwoTicks() {
        RelayWorld world = new RelayWorld(30, 5, 7);
        world.run(SETTLED);
        RelayWorld.Member added = world.add("h999", "d2");
        world.run(Duration.ofSeconds(3));

        assertThat(world.reached(world.members().get(0), HOPS)).contains(added.name());
    }

    private static double messagesPerHostAndSecond(int hosts) {
        RelayWorld world = new RelayWorld(hosts, 5, 1);
        world.run(SETTLED);
        long before = world.messages();
        world.run(Duration.ofSeconds(12));
        return (world.messages() - before) / 12.0 / hosts;
    }

    private static RelayWorld.Member plain(RelayWorld world) {
        return world.live().stream()
                .filter(member -> !member.network().relay())
                .findFirst()
                .orElseThrow();
    }

    private static RelayWorld.Member plain(RelayWorld world, String domain) {
        return world.live().stream()
                .filter(member -> !member.network().relay())
                .filter(member -> member.domain().name().equals(domain))
                .findFirst()
                .orElseThrow();
    }

    private static String domainOf(RelayWorld world, String name) {
        return world.members().stream()
                .filter(member -> member.name().equals(name))
                .map(member -> member.domain().name())
                .findFirst()
                .orElseThrow();
    }

    private static Set<String> others(RelayWorld world, RelayWorld.Member member) {
        return world.live().stream()
                .map(RelayWorld.Member::name)
                .filter(name -> !name.equals(member.name()))
                .collect(Collectors.toSet());
    }
}
