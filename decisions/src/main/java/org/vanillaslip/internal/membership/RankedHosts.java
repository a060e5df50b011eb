package org.vanillaslip.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;

/**
 * The listed hosts of each failure domain in rank order: those with the largest network links
 * first, as relays send what the others receive. Depends only on the list.
 *
 * @param domainsByHost the failure domain of each host
 * @param hostsByDomain the hosts of each failure domain, the preferred one first
 */
public record RankedHosts(
        Map<String, FailureDomain> domainsByHost, Map<FailureDomain, List<String>> hostsByDomain) {

    static final Comparator<FailureDomain> BY_NAME = Comparator.comparing(FailureDomain::name);

    /** Ranks the listed hosts and this host. */
    public static RankedHosts of(Host self, Collection<Host> hosts, RendezvousRanking ranking) {
        Map<String, FailureDomain> domainsByHost =
                hosts.stream()
                        .collect(
                                Collectors.toMap(
                                        Host::name, Host::failureDomain, (first, second) -> first));
        domainsByHost.put(self.name(), self.failureDomain());
        Map<FailureDomain, List<String>> hostsByDomain = new TreeMap<>(BY_NAME);
        domainsByHost.forEach(
                (host, domain) ->
                        hostsByDomain.computeIfAbsent(domain, name -> new ArrayList<>()).add(host));
        Map<String, Double> linkMegabits =
                hosts.stream()
                        .collect(
                                Collectors.toMap(
                                        Host::name, Host::linkMegabits, (first, second) -> first));
        linkMegabits.put(self.name(), self.linkMegabits());
        Comparator<String> byLink =
                Comparator.comparing((String host) -> linkMegabits.getOrDefault(host, 0.0))
                        .reversed();
        Map<FailureDomain, List<String>> rankedByDomain = new TreeMap<>(BY_NAME);
        hostsByDomain.forEach(
                (domain, names) ->
                        rankedByDomain.put(
                                domain,
                                ranking.rank(domain.name(), names).stream()
                                        .sorted(byLink)
                                        .toList()));
        return new RankedHosts(Map.copyOf(domainsByHost), rankedByDomain);
    }
}
