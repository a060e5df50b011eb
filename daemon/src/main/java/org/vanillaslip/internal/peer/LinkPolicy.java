package org.vanillaslip.internal.peer;

import org.vanillaslip.Host;

/** Which links to listed hosts this host opens and keeps. */
public interface LinkPolicy {

    /** Returns whether this host opens a link to the host when there is none. */
    boolean shouldOpen(Host host);

    /** Returns whether this host keeps a link that it has opened. */
    boolean shouldKeep(String host);

    /** Returns a policy with one link between any two hosts. */
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
