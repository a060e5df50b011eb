package org.vanillaslip.internal.control;

import java.util.List;
import org.vanillaslip.Host;
import reactor.core.publisher.Flux;

/** The platform's host list as last read by this host; it may lag behind the platform. */
public interface HostView {

    /** Returns all listed hosts, this host included. */
    List<Host> hosts();

    /** Emits each new list on the decision loop. */
    Flux<List<Host>> changes();
}
