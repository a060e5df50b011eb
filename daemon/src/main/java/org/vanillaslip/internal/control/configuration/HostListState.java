package org.vanillaslip.internal.control.configuration;

import io.vavr.collection.HashMap;
import io.vavr.control.Option;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.Host;

/**
 * Host entries by name. A removed host keeps an entry with its version, so that an older list does
 * not restore it.
 */
record HostListState(HashMap<String, Entry> entries) {

    /** An entry at one version; its host is empty if it is not listed or cannot be read. */
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

    /** Returns the state with the entry, or this state if the known entry is at least as new. */
    HostListState withEntry(String name, Entry entry) {
        long knownVersion = entries.get(name).map(Entry::version).getOrElse(0L);
        return entry.version() > knownVersion ? new HostListState(entries.put(name, entry)) : this;
    }

    /**
     * Returns the state with a complete list; hosts that are not listed are removed at its version.
     */
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
