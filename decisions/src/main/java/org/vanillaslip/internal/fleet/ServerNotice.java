package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Optional;
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
 * @param pause time for which the server, which turned the request away, wants no other; empty if
 *     it names none or none that can be read
 */
public record ServerNotice(
        boolean limitReadable,
        OptionalDouble requestsPerSecond,
        boolean leaving,
        Optional<Duration> pause) {

    /** The notice of an answer without a limit. */
    public static final ServerNotice NO_LIMIT =
            new ServerNotice(true, OptionalDouble.empty(), false, Optional.empty());

    /** The notice of an answer whose limit cannot be read. */
    public static final ServerNotice UNREADABLE_LIMIT =
            new ServerNotice(false, OptionalDouble.empty(), false, Optional.empty());

    /** Returns the notice of an answer that names a limit. */
    public static ServerNotice limit(double requestsPerSecond) {
        return new ServerNotice(
                true, OptionalDouble.of(requestsPerSecond), false, Optional.empty());
    }

    /** Returns the same notice of a server that leaves. */
    public ServerNotice asLeaving() {
        return new ServerNotice(limitReadable, requestsPerSecond, true, pause);
    }

    /** Returns the same notice of a server that wants no request for the time. */
    public ServerNotice withPause(Duration time) {
        return new ServerNotice(limitReadable, requestsPerSecond, leaving, Optional.of(time));
    }
}
