package org.vanillaslip.internal.fleet;

import java.util.OptionalDouble;

/**
 * What a server says of itself in the head of an answer.
 *
 * @param limitReadable whether the answer shows if the server names a limit; an unreadable limit
 *     neither begins nor ends one
 * @param requestsPerSecond requests that the server takes from all hosts together; empty if it
 *     names no limit
 * @param leaving whether the server says that it leaves; an answer that does not say so takes
 *     nothing back
 */
public record ServerNotice(
        boolean limitReadable, OptionalDouble requestsPerSecond, boolean leaving) {

    /** The notice of an answer without a limit. */
    public static final ServerNotice NO_LIMIT =
            new ServerNotice(true, OptionalDouble.empty(), false);

    /** The notice of an answer whose limit cannot be read. */
    public static final ServerNotice UNREADABLE_LIMIT =
            new ServerNotice(false, OptionalDouble.empty(), false);

    /** Returns the notice of an answer that names a limit. */
    public static ServerNotice limit(double requestsPerSecond) {
        return new ServerNotice(true, OptionalDouble.of(requestsPerSecond), false);
    }

    /** Returns the same notice of a server that leaves. */
    public ServerNotice asLeaving() {
        return new ServerNotice(limitReadable, requestsPerSecond, true);
    }
}
