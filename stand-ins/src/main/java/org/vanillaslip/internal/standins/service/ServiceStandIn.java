package org.vanillaslip.internal.standins.service;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Runs a stand-in for a plain service as a process. */
@Command(name = "service-stand-in", description = "Runs a stand-in of a plain service.")
public final class ServiceStandIn {

    @Option(name = "--port", description = "Port to listen on; 0 takes a free one.")
    private int mPort;

    @Option(name = "--name", description = "Name that answers carry.")
    private String mName = "service";

    /** Starts the server and prints a line with the port on standard output. */
    public static void main(String[] arguments) {
        ServiceStandIn command;
        try {
            command = SingleCommand.singleCommand(ServiceStandIn.class).parse(arguments);
        } catch (ParseException exception) {
            System.err.println(exception.getMessage());
            System.exit(2);
            return;
        }
        ServiceServer server = new ServiceServer(command.mName);
        System.out.println("port " + server.start(command.mPort));
        server.awaitStop();
    }
}
