package org.vanillaslip.internal.control.configuration;

import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.Host;

/** Hosts by name with the version of each entry; a removed host keeps its version. */
record HostListState(HashMap<String, Entry> entries) {

    /** An entry at one version; empty when the host is not listed. */
    record Entry(long version, Optional<Host> host) {}

    static HostListState empty() {
        return new HostListState(HashMap.empty());
    }

    List<Host> hosts() {
        return entries.values()
                .flatMap(entry -> Option.ofOptional(entry.host()))
                .toJavaStream()
                .sorted(Comparator.comparing(Host::name))
                .toList();
    }

    /** Takes an entry unless a newer one is known. */
    HostListState withEntry(String name, Entry entry) {
        long knownVersion = entries.get(name).map(Entry::version).getOrElse(0L);
        return entry.version() > knownVersion ? new HostListState(entries.put(name, entry)) : this;
    }

    /** Takes a complete list of the given version. */
    HostListState withList(Map<String, Entry> listed, long listVersion) {
        HostListState state = this;
        for (Map.Entry<String, Entry> entry : listed.entrySet()) {
            state = state.withEntry(entry.getKey(), entry.getValue());
        }
        for (String name : entries.keySet()) {
            if (!listed.containsKey(name)) {
                state = state.withEntry(name, new Entry(listVersion, Optional.empty()));
            }
        }
        return state;
    }
}
