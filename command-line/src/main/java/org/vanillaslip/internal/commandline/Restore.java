package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;

/** {@code vanillaslip restore}. */
@Command(
        name = "restore",
        description = "Returns a failure domain, host or backend server to service")
public final class Restore extends DrainCommand {
    @Override
    boolean drained() {
        return false;
    }
}
