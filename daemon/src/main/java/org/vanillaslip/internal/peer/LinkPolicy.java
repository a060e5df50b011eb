package org.vanillaslip.internal.peer;

import org.vanillaslip.Host;

/** Which links to listed hosts this host opens and keeps. */
public interface LinkPolicy {

    /** Returns whether this host opens a link to the host when there is none. */
    boolean opens(Host host);

    /** Returns whether this host keeps a link that it has opened. */
    boolean keeps(String host);

    /** Returns a policy with one link between any two hosts. */
    static LinkPolicy mesh(String self) {
        return new LinkPolicy() {
            @Override
            public boolean opens(Host host) {
                return self.compareTo(host.name()) < 0;
            }

            @Override
            public boolean keeps(String host) {
                return true;
            }
        };
    }
}
