package org.vanillaslip.internal.commandline;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Base class of the commands for what hosts keep from the backend servers. */
abstract class QuarantineCommand extends OperatorCommand {
    @Option(
            name = {"--host"},
            title = "ADDRESS",
            description = "ip:port of the metrics of a host; all hosts know the same")
    @Required
    String mHost = "";
}
