package org.vanillaslip.internal.quota;

import java.util.Map;

/** The share tables as last read. Confined to the decision loop. */
public interface ShareView {

    /** Returns the parts of all hosts in all failure domains, by host name. */
    Map<String, Long> partsByHost();

    /** Returns the parts that this host may use now. */
    long ownParts();
}
