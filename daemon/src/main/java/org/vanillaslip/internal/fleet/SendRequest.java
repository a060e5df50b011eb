package org.vanillaslip.internal.fleet;

/**
 * A request for a permit to send one call to a server with a limit.
 *
 * @param startId name and start of the server
 * @param limit what the requester knows of the limit
 * @param withinMillis how far ahead the permit may become usable
 * @param hops number of hosts that have passed the request on
 */
record SendRequest(String startId, LimitNews limit, long withinMillis, int hops) {

    SendRequest passedOn() {
        return new SendRequest(startId, limit, withinMillis, hops + 1);
    }
}
