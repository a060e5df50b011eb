package org.vanillaslip.internal.fleet;

import java.util.OptionalDouble;

/**
 * What a server says of itself in the head of an answer.
 *
 * @param limitReadable whether the answer shows if the server names a limit; an unreadable limit
 *     neither begins nor ends one
 * @param requestsPerSecond requests that the server takes from all hosts together; empty if it
 *     names no limit
 */
public record ServerNotice(boolean limitReadable, OptionalDouble requestsPerSecond) {

    /** The notice of an answer without a limit. */
    public static final ServerNotice NO_LIMIT = new ServerNotice(true, OptionalDouble.empty());

    /** The notice of an answer whose limit cannot be read. */
    public static final ServerNotice UNREADABLE_LIMIT =
            new ServerNotice(false, OptionalDouble.empty());

    /** Returns the notice of an answer that names a limit. */
    public static ServerNotice limit(double requestsPerSecond) {
        return new ServerNotice(true, OptionalDouble.of(requestsPerSecond));
    }
}
