package org.vanillaslip.internal.fleet;

import java.time.Duration;

/** Receives what engines say of themselves in the heads of responses to orders and reports. */
@FunctionalInterface
public interface EngineNoticeListener {

    /**
     * Handles the notice of a response.
     *
     * @param sinceSent time since the request was sent
     */
    void handle(RegisteredServer server, ServerNotice notice, Duration sinceSent);
}
