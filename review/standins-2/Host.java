import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A host of the system: the daemon, started with the command of the deploy file. */
final class Host {

    private static final int FIRST_PORT = 11_000;
    private static final int LAST_PORT = 15_000;

    final String mName;
    final int mPort = freePort();
    final int mReadinessPort = freePort();
    final int mMetricsPort = freePort();
    private final Path mRoot;
    private final Path mDirectory;
    private Process mProcess;
    private int mStarts;

    Host(
            Path root,
            Path directory,
            String name,
            String zone,
            String address,
            String store,
            double linkMegabits)
            throws IOException {
        mRoot = root;
        mDirectory = directory;
        mName = name;
        Files.writeString(
                settings(),
                """
                [host]
                name = %s
                failure_domain = %s
                gateway_address = %s:%d
                peer_address = %s:%d
                shutdown_delay_seconds = 3
                shutdown_timeout_seconds = 4
                link_megabits = %s

                [platform]
                address = %s
                request_timeout_millis = 600

                [serving]
                readiness_address = %s:%d
                metrics_address = %s:%d
                order_turn_millis = 3000
                retry_ratio = 0.2
                retry_extra = 52
                retry_window_seconds = 10
                rate_slack = 17000

                [placement]
                weight_store_parallel_loads = 8

                [log]
                format = plain
                level = info
                """
                        .formatted(
                                name,
                                zone,
                                address,
                                mPort,
                                address,
                                freePort(),
                                linkMegabits,
                                store,
                                address,
                                mReadinessPort,
                                address,
                                mMetricsPort));
    }

    /** Starts the process with the command that the deploy file names. */
    void start() throws IOException {
        List<String> command = new ArrayList<>();
        String run =
                Files.readAllLines(mRoot.resolve("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        command.addAll(Arrays.asList(run.substring(7, run.length() - 1).split(" ")));
        command.set(command.size() - 1, settings().toString());
        mProcess =
                new ProcessBuilder(command)
                        .directory(mRoot.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(logFile(++mStarts))
                        .start();
    }

    Path settings() {
        return mDirectory.resolve(mName + ".ini");
    }

    private File logFile(int start) {
        return mDirectory.resolve(mName + "-" + start + ".log").toFile();
    }

    String log() throws IOException {
        StringBuilder log = new StringBuilder();
        for (int start = 1; start <= mStarts; start++) {
            log.append(Files.readString(logFile(start).toPath(), StandardCharsets.UTF_8));
        }
        return log.toString();
    }

    boolean isRunning() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Sends a signal, as KILL, TERM, STOP or CONT, to the process that this test started. */
    void signal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    long pid() {
        return mProcess.pid();
    }

    void end() throws IOException {
        if (isRunning()) {
            signal("CONT");
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor();
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
        }
    }

    /** Returns a free port below those that the kernel gives to outgoing connections. */
    static int freePort() {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                return port;
            } catch (IOException taken) {
                // Another one is tried.
            }
        }
        throw new IllegalStateException("no free port");
    }
}
