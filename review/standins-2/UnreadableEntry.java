import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer keeps an entry in the list of servers that can't be read. Later all processes of
 * the system are killed and start again.
 */
final class UnreadableEntry extends Case {

    private static final long HEARTBEAT_MILLIS = 1200;
    private static final double RECOVERY_SECONDS = 12;
    private static final double MIN_SERVED_PART = 0.25;

    private final Store mStore = new Store();
    private final AtomicInteger mNextId = new AtomicInteger();
    private volatile boolean mWriting = true;

    private UnreadableEntry(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws IOException {
        new UnreadableEntry(arguments).runAndExit();
    }

    @Override
    int run() throws Exception {
        String store = mStore.newEndpoint().address();
        mStore.put(
                "config",
                "main",
                Platform.manifest(
                        7,
                        List.of(
                                Platform.route(
                                        "r-cufi504", "/cufi504/", "idempotent", "pedidos", 600, 121,
                                        2, false)),
                        List.of(Platform.plainService("pedidos"))));
        for (String zone : List.of("scl-a", "scl-b", "scl-c")) {
            new Server(mStore, "i-" + zone, "pedidos", zone, 6, List.of(), this::answer);
        }
        for (String zone : List.of("scl-a", "scl-b")) {
            addHost("frontend-" + zone + "-1", zone, store).start();
        }
        for (Host host : mHosts) {
            if (!Platform.awaitReady(host, 20_000)) {
                record("%s does not get ready at the first start", host.mName);
                return COULD_NOT_RUN;
            }
        }
        int[] before = send(3);
        if (mTrouble) {
            Threads.start("other writer", this::writeForeignEntry);
        }
        add(before, send(5));
        record("before the final fault: %d of %d served", before[0], before[1]);
        for (Host host : mHosts) {
            host.signal("KILL");
        }
        record("the final fault: all processes of the system are killed");
        Threads.sleep(1500);
        for (Host host : mHosts) {
            host.start();
        }
        double back = seconds();
        record("all processes are started again");
        int[] during = send(RECOVERY_SECONDS);
        record("in the first 12 s: %d of %d served", during[0], during[1]);
        int[] after = send(10);
        record(
                "later than recoveryS = 12 s after %.1f s: %d of %d served",
                back, after[0], after[1]);
        for (Host host : mHosts) {
            record(
                    "%s is %s and says that it is %s",
                    host.mName,
                    host.isRunning() ? "running" : "not running",
                    Platform.isReady(host) ? "ready" : "not ready");
        }
        mWriting = false;
        if (before[0] < MIN_SERVED_PART * before[1]) {
            return COULD_NOT_RUN;
        }
        return after[0] < MIN_SERVED_PART * after[1] ? BROKEN : HELD;
    }

    private static void add(int[] sum, int[] counts) {
        sum[0] += counts[0];
        sum[1] += counts[1];
    }

    /** Sends 20 requests a second to all hosts in turn; returns how many were served and sent. */
    private int[] send(double seconds) {
        AtomicInteger served = new AtomicInteger();
        int sent = 0;
        double end = seconds() + seconds;
        while (seconds() < end) {
            int number = mNextId.incrementAndGet();
            Host host = mHosts.get(number % mHosts.size());
            sent++;
            Threads.start("requester", () -> request(host, "a-" + number, served));
            Threads.sleep(50);
        }
        Threads.sleep(700);
        return new int[] {served.get(), sent};
    }

    private void request(Host host, String id, AtomicInteger served) {
        String outcome;
        try {
            Http.Message answer =
                    Platform.call(host.mPort, "GET", "/cufi504/2f", id, 600, new byte[0]);
            outcome = Integer.toString(answer.status());
            if (answer.status() == 200) {
                served.incrementAndGet();
            }
        } catch (IOException ended) {
            outcome = ended.getClass().getSimpleName();
        }
        record("request %s to %s: %s", id, host.mName, outcome);
    }

    private void answer(Server server, Http.Message request, java.net.Socket connection)
            throws Exception {
        Thread.sleep(20);
        record("%s runs %s", server.mId, request.header("x-attempt-id"));
        connection
                .getOutputStream()
                .write(
                        Http.response(
                                200,
                                "answer".getBytes(),
                                "X-Attempt-Id: " + request.header("x-attempt-id"),
                                "X-Server-Signature: 3e1b"));
    }

    /**
     * Writes an entry of another service's process, in the rhythm of a server. VARIANT says what is
     * wrong with it.
     */
    private void writeForeignEntry() throws InterruptedException {
        String variant = System.getenv().getOrDefault("VARIANT", "bytes");
        long born = System.currentTimeMillis();
        for (long sequence = 1; mWriting; sequence++) {
            Map<String, Object> entry =
                    Json.of(
                            "service", "almacen",
                            "addr", "127.0.0.1:9",
                            "zone", "scl-a",
                            "version", "v1",
                            "slots", 6L,
                            "state", "ready",
                            "coldLeftMs", 0L,
                            "born", born,
                            "seq", sequence);
            switch (variant) {
                // "edición 4" in ISO 8859-1: one byte that is no UTF-8.
                case "bytes" -> entry.put("version", "edici\uf7f3n 4");
                // Another type: a whole number that fits into no integer of 64 bits, or a double.
                case "digits" -> entry.put("slots", new Json.Verbatim("6" + "0".repeat(1200)));
                // Another type: lists in lists instead of a text.
                case "lists" ->
                        entry.put(
                                "version",
                                new Json.Verbatim("[".repeat(1200) + "]".repeat(1200)));
                default -> record("the entry is readable, of a service that isn't named");
            }
            mStore.put("servers", "almacen-1", entry);
            record("another writer writes servers/almacen-1, variant=%s", variant);
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }
}
