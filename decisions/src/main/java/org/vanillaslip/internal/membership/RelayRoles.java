package org.vanillaslip.internal.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;

/**
 * The hosts that relay messages for the others, as determined by one host. The relays of a failure
 * domain are its first reachable hosts by rendezvous hashing, so that hosts with the same list
 * agree without a vote. Wrong information on which hosts are reachable affects the delivery of
 * messages, but not safety.
 */
public final class RelayRoles {

    /** Two, so that messages still get through when one relay fails. */
    public static final int RELAYS_PER_DOMAIN = 2;

    /**
     * Unreachable hosts to which connections are retried, in addition to the relays of a domain.
     */
    private static final int MAX_UNREACHABLE_RETRIED = 4;

    private final Host mSelf;
    private final Map<String, FailureDomain> mDomainsByHost;
    private final Map<FailureDomain, List<String>> mRelaysByDomain;
    private final Set<String> mConnectionTargets;

    private RelayRoles(
            Host self,
            Map<String, FailureDomain> domainsByHost,
            Map<FailureDomain, List<String>> relays,
            Set<String> targets) {
        mSelf = self;
        mDomainsByHost = domainsByHost;
        mRelaysByDomain = relays;
        mConnectionTargets = targets;
    }

    /**
     * Determines the relays from the ranked hosts.
     *
     * @param unreachable whether this host tried to connect to a host and got no response
     */
    public static RelayRoles of(Host self, RankedHosts hosts, Predicate<String> unreachable) {
        Map<FailureDomain, List<String>> ranked = hosts.hostsByDomain();
        Map<FailureDomain, List<String>> relays = new TreeMap<>(RankedHosts.BY_NAME);
        ranked.forEach((domain, names) -> relays.put(domain, relays(self, names, unreachable)));
        boolean selfIsRelay =
                relays.getOrDefault(self.failureDomain(), List.of()).contains(self.name());
        Set<String> targets = new LinkedHashSet<>();
        ranked.forEach(
                (domain, names) -> {
                    if (selfIsRelay || domain.equals(self.failureDomain())) {
                        targets.addAll(connectionTargets(self, names, unreachable));
                    }
                });
        return new RelayRoles(self, hosts.domainsByHost(), relays, targets);
    }

    /** Returns whether this host is a relay. */
    public boolean isRelay() {
        return relaysOf(mSelf.failureDomain()).contains(mSelf.name());
    }

    /** Returns the relays of the failure domain, the preferred one first. */
    public List<String> relaysOf(FailureDomain domain) {
        return mRelaysByDomain.getOrDefault(domain, List.of());
    }

    /** Returns the relays of the failure domain of this host, without this host. */
    public List<String> ownRelays() {
        return relaysOf(mSelf.failureDomain()).stream()
                .filter(host -> !host.equals(mSelf.name()))
                .toList();
    }

    /** Returns the relays of all other failure domains. */
    public List<String> farRelays() {
        return mRelaysByDomain.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(mSelf.failureDomain()))
                .flatMap(entry -> entry.getValue().stream())
                .toList();
    }

    /**
     * Returns the hosts to which this host connects, including unreachable ones that it retries.
     */
    public Set<String> connectionTargets() {
        return mConnectionTargets;
    }

    /** Returns the failure domain of a listed host. */
    public Optional<FailureDomain> domainOf(String host) {
        return Optional.ofNullable(mDomainsByHost.get(host));
    }

    /** Returns the number of hosts in each failure domain, including this host. */
    public Map<FailureDomain, Long> hostCountByDomain() {
        return mDomainsByHost.values().stream()
                .collect(Collectors.groupingBy(domain -> domain, Collectors.counting()));
    }

    private static List<String> relays(
            Host self, List<String> ranked, Predicate<String> unreachable) {
        return ranked.stream()
                .filter(host -> host.equals(self.name()) || !unreachable.test(host))
                .limit(RELAYS_PER_DOMAIN)
                .toList();
    }

    private static List<String> connectionTargets(
            Host self, List<String> ranked, Predicate<String> unreachable) {
        List<String> targets = new ArrayList<>();
        int reachable = 0;
        int retried = 0;
        for (String host : ranked) {
            if (reachable == RELAYS_PER_DOMAIN) {
                break;
            }
            if (host.equals(self.name())) {
                reachable++;
            } else if (!unreachable.test(host)) {
                reachable++;
                targets.add(host);
            } else if (retried < MAX_UNREACHABLE_RETRIED) {
                retried++;
                targets.add(host);
            }
        }
        return targets;
    }
}
