import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One run of a case: its record, its temporary folder and the daemons that it starts. */
final class Run implements AutoCloseable {
    /** A daemon process. */
    final class Daemon {
        final String name;
        final int port = freePort();
        final int readiness = freePort();
        final int peer = freePort();
        final int metrics = freePort();
        final Path settings;
        Process process;

        Daemon(String name, String zone, int storePort) throws IOException {
            this.name = name;
            settings = folder.resolve(name + ".ini");
            String text = Files.readString(root.resolve("deploy/settings.ini"));
            // Fills in the template of the deploy file with the figures of a small deployment.
            text =
                    text.replaceAll("\\{\\{[#/^][^}]*\\}\\}", "")
                            .replace("{{node}}", name)
                            .replace("{{zone}}", zone)
                            .replace("{{listen.front}}", "127.0.0.1:" + port)
                            .replace("{{ip}}:7600", "127.0.0.1:" + peer)
                            .replace("{{ip}}:7601", "127.0.0.1:" + metrics)
                            .replace("{{listen.readiness}}", "127.0.0.1:" + readiness)
                            .replace("{{platform.addr}}", "127.0.0.1:" + storePort)
                            .replaceFirst("link_megabits = \\{\\{\\.\\}\\}", "link_megabits = 1000.0")
                            .replaceFirst("order_turn_millis = \\{\\{\\.\\}\\}", "order_turn_millis = 3000")
                            .replaceFirst("retry_ratio = \\{\\{\\.\\}\\}", "retry_ratio = 0.2")
                            .replaceFirst("retry_extra = \\{\\{\\.\\}\\}", "retry_extra = 52")
                            .replaceFirst(
                                    "retry_window_seconds = \\{\\{\\.\\}\\}", "retry_window_seconds = 10")
                            .replaceFirst("rate_slack = \\{\\{\\.\\}\\}", "rate_slack = 17000");
            Files.writeString(settings, text);
        }

        Daemon start() throws IOException {
            String run =
                    Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                            .filter(line -> line.startsWith("run = "))
                            .findFirst()
                            .orElseThrow();
            List<String> words = new ArrayList<>();
            for (String word : run.substring(7, run.length() - 1).split(" ")) {
                words.add(word.equals("/etc/vanillaslip/local.conf") ? settings.toString() : word);
            }
            process =
                    new ProcessBuilder(words)
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            folder.resolve(name + ".log").toFile()))
                            .start();
            processes.add(process);
            return this;
        }

        boolean ready() {
            try (Socket socket = new Socket("127.0.0.1", readiness)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream()
                        .write("GET /vanillaslip/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                Http.Message answer = Http.read(socket.getInputStream(), true);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (!ready()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(name + " is not ready");
                }
                Thread.sleep(50);
            }
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        List<String> log() throws IOException {
            return Files.readAllLines(folder.resolve(name + ".log"));
        }
    }

    final Path root = Path.of(System.getProperty("review.root")).toAbsolutePath().normalize();
    final Path folder = Files.createTempDirectory("review");
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final BufferedWriter record;

    /** What a case does; returns whether the rule was broken. */
    interface Scenario {
        boolean play(Run run) throws Exception;
    }

    /** Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    static void main(String recordFile, Scenario scenario) {
        int code = 2;
        try (Run run = new Run(Path.of(recordFile))) {
            boolean broken = scenario.play(run);
            run.note(broken ? "the rule was broken" : "the rule held");
            code = broken ? 1 : 0;
        } catch (Throwable e) {
            e.printStackTrace();
            code = 2;
        }
        Runtime.getRuntime().halt(code);
    }

    Run(Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble " + (trouble ? 1 : 0));
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a stand-in as a process of its own. */
    Process process(String mainClass, String... arguments) throws IOException {
        List<String> words = new ArrayList<>(List.of("java", "-Xmx64m", "-cp", System.getProperty("java.class.path"), mainClass));
        words.addAll(List.of(arguments));
        Process process = new ProcessBuilder(words).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        processes.add(process);
        return process;
    }

    Daemon daemon(String name, String zone, Store store) throws IOException {
        return new Daemon(name, zone, store.port());
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private final java.util.Set<String> runs = java.util.concurrent.ConcurrentHashMap.newKeySet();

    /** Records that a server runs the request. */
    void ran(String server, Http.Message request) {
        String id = request.header("X-Attempt-Id");
        runs.add(id);
        note("server " + server + " runs " + id + " " + request.method() + " " + request.target() + " with " + request.body().length + " bytes");
    }

    boolean wasRun(String id) {
        return runs.contains(id);
    }

    synchronized void note(String text) {
        try {
            record.write(String.format("%7d ms  %s%n", millis(), text));
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void endProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getProperty("review.keep") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("kept " + folder);
        }
        synchronized (this) {
            record.close();
        }
    }
}
