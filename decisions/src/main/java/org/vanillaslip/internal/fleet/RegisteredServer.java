package org.vanillaslip.internal.fleet;

import java.util.OptionalLong;
import org.vanillaslip.FailureDomain;

/**
 * A backend server as it has registered itself.
 *
 * @param instance name of this server, new at most of its starts
 * @param startedAtMillis start of this life, in milliseconds of the server's clock
 * @param requestSlots requests that the server runs at once
 * @param leaving whether the server has announced that it will stop
 * @param stopsInMillis time until the server stops, if it was announced
 * @param remainingColdMillis how much longer the server stays cold, at the time of registration
 */
public record RegisteredServer(
        String instance,
        long startedAtMillis,
        String pool,
        String address,
        FailureDomain failureDomain,
        int requestSlots,
        boolean leaving,
        OptionalLong stopsInMillis,
        long remainingColdMillis,
        ServerModelState modelState) {}
