package org.vanillaslip.internal.peer;

import org.vanillaslip.Host;

/** Decides which links to other hosts this host opens and keeps. */
public interface LinkPolicy {

    /** Returns whether this host should open a link to a host that it has no link to. */
    boolean shouldOpen(Host host);

    /** Returns whether this host should keep a link that it has opened. */
    boolean shouldKeep(String host);

    /**
     * Returns a policy with one link per pair of hosts, opened by the host with the smaller name.
     */
    static LinkPolicy fullMesh(String self) {
        return new LinkPolicy() {
            @Override
            public boolean shouldOpen(Host host) {
                return self.compareTo(host.name()) < 0;
            }

            @Override
            public boolean shouldKeep(String host) {
                return true;
            }
        };
    }
}
