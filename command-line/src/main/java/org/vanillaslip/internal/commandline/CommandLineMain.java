package org.vanillaslip.internal.commandline;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ServiceLoader;
import org.slf4j.LoggerFactory;
import org.vanillaslip.internal.platform.DeploymentConfigurationCheck;
import org.vanillaslip.internal.platform.HttpObjectStore;
import org.vanillaslip.internal.platform.JsonLimits;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.ObjectStore;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Main class of the command line tool {@code vanillaslip}. */
public final class CommandLineMain {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

    private CommandLineMain() {}

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        // Scripts parse the output, so log lines of libraries must not be mixed into it.
        if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.OFF);
        }
        SecureRandom random = new SecureRandom();
        CommandContext context =
                new CommandContext(
                        CommandLineMain::connect,
                        new HttpStatusReader(HttpClient.create(), new ObjectMapper()),
                        new HttpQuarantineClient(HttpClient.create(), new ObjectMapper()),
                        () -> Keys.create(random),
                        ServiceLoader.load(DeploymentConfigurationCheck.class).findFirst());
        int exitCode = new CommandLine(context, System.out, System.err).run(arguments);
        System.exit(exitCode);
    }

    private static ObjectStore connect(String address) {
        return new HttpObjectStore(
                HttpClient.create(),
                "http://" + address,
                "operators",
                new ObjectJsonCodec(JsonLimits.storedValues()),
                RESPONSE_TIMEOUT,
                Schedulers.parallel());
    }
}
