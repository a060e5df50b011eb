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
 * The listed hosts of each failure domain, ranked; changes with the list only.
 *
 * @param domainsByHost the failure domain of each host
 * @param hostsByDomain the hosts of each failure domain, the preferred one first
 */
public record RankedHosts(
        Map<String, FailureDomain> domainsByHost, Map<FailureDomain, List<String>> hostsByDomain) {

    static final Comparator<FailureDomain> BY_NAME = Comparator.comparing(FailureDomain::name);

    /** Ranks the hosts of the list and this host. */
    public static RankedHosts of(Host self, Collection<Host> hosts, RendezvousRanking ranking) {
        Map<String, FailureDomain> domains =
                hosts.stream()
                        .collect(
                                Collectors.toMap(
                                        Host::name, Host::failureDomain, (one, other) -> one));
        domains.put(self.name(), self.failureDomain());
        Map<FailureDomain, List<String>> listed = new TreeMap<>(BY_NAME);
        domains.forEach(
                (host, domain) ->
                        listed.computeIfAbsent(domain, name -> new ArrayList<>()).add(host));
        Map<FailureDomain, List<String>> ranked = new TreeMap<>(BY_NAME);
        listed.forEach((domain, names) -> ranked.put(domain, ranking.rank(domain.name(), names)));
        return new RankedHosts(Map.copyOf(domains), ranked);
    }
}
