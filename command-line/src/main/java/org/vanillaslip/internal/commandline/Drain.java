package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Command;

/** {@code vanillaslip drain}. */
@Command(
        name = "drain",
        description = "Takes a failure domain, host or backend server out of service")
public final class Drain extends DrainCommand {
    @Override
    boolean drained() {
        return true;
    }
}
