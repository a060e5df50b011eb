package org.vanillaslip.internal.fleet;

import java.util.OptionalLong;
import org.vanillaslip.FailureDomain;

/**
 * A backend server as it has registered itself.
 *
 * @param instance name of this server, new at most of its starts
 * @param bornMillis start of this life, in milliseconds of the server's clock
 * @param places requests that the server runs at once
 * @param leaving whether the server has announced that it will stop
 * @param goneInMillis time until the server stops, if it was announced
 * @param coldMillis how much longer the server stays cold, at the time of registration
 */
public record RegisteredServer(
        String instance,
        long bornMillis,
        String pool,
        String address,
        FailureDomain failureDomain,
        int places,
        boolean leaving,
        OptionalLong goneInMillis,
        long coldMillis,
        ServerModelState stock) {}
