import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;

/**
 * Servers answer long requests before they have read them, without a length; some of these answers
 * are reset on the way.
 */
final class ResetAnswer extends Case {

    private static final int REQUESTS = 200;

    /** One answer in twenty, the largest dose of the site. */
    private static final int RESET_EACH = 20;

    private static final int WHOLE_BYTES = 800;
    private static final int SENT_BEFORE_RESET = 300;
    private static final int WINDOW_BYTES = 65_536;
    private static final int MAX_BODY_BYTES = 4_194_304;

    private final Store mStore = new Store();
    private final int mBodyBytes =
            Integer.parseInt(System.getenv().getOrDefault("BODY_BYTES", "4000000"));
    private int mAnswers;
    private volatile boolean mEnding;

    private ResetAnswer(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws IOException {
        new ResetAnswer(arguments).runAndExit();
    }

    @Override
    int run() throws Exception {
        Map<String, Object> manifest =
                Platform.manifest(
                        7,
                        List.of(
                                Platform.route(
                                        "r-puxa403", "/puxa403/", "non_idempotent", "pedidos", 5000,
                                        121, 1, false)),
                        List.of(Platform.plainService("pedidos")));
        manifest.put(
                "limits",
                Json.of(
                        "maxHeaderBytes", 16384L, "maxBodyBytes", (long) MAX_BODY_BYTES,
                        "headerTimeoutMs", 3000L, "idleTimeoutMs", 15000L));
        mStore.put("config", "main", manifest);
        for (String zone : List.of("scl-a", "scl-b", "scl-c")) {
            startServer("i-" + zone, zone);
        }
        Host host = addHost("frontend-scl-a-1", "scl-a", mStore.newEndpoint().address());
        host.start();
        if (!Platform.awaitReady(host, 20_000)) {
            record("%s does not get ready", host.mName);
            return COULD_NOT_RUN;
        }
        Threads.sleep(1000);
        int served = 0;
        int cut = 0;
        byte[] body = new byte[mBodyBytes];
        for (int number = 1; number <= REQUESTS; number++) {
            String id = "a-" + number;
            try {
                Http.Message answer =
                        Platform.call(host.mPort, "POST", "/puxa403/2f", id, 5000, body);
                boolean success = answer.status() == 200;
                boolean whole = answer.body().length == WHOLE_BYTES;
                served += success ? 1 : 0;
                cut += success && !whole ? 1 : 0;
                record(
                        "requester gets for %s: %d with signature '%s' and a complete body of %d"
                                + " bytes",
                        id,
                        answer.status(),
                        answer.header("x-server-signature"),
                        answer.body().length);
            } catch (IOException ended) {
                record("requester gets for %s no complete answer: %s", id, ended.getMessage());
            }
        }
        mEnding = true;
        record(
                "of %d requests %d got a success, %d of these with a body that isn't the server's"
                        + " whole body",
                REQUESTS, served, cut);
        if (served < REQUESTS / 2) {
            return COULD_NOT_RUN;
        }
        return cut > 0 ? BROKEN : HELD;
    }

    private void startServer(String id, String zone) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(WINDOW_BYTES);
        socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        long born = System.currentTimeMillis();
        Threads.start(
                "heartbeat",
                () -> {
                    for (long sequence = 1; !mEnding; sequence++) {
                        mStore.put(
                                "servers",
                                id,
                                Json.of(
                                        "service", "pedidos",
                                        "addr", "127.0.0.1:" + socket.getLocalPort(),
                                        "zone", zone,
                                        "version", "v1",
                                        "slots", 6L,
                                        "state", "ready",
                                        "coldLeftMs", 0L,
                                        "born", born,
                                        "seq", sequence));
                        Thread.sleep(1200);
                    }
                });
        Threads.start(
                "server",
                () -> {
                    while (true) {
                        Socket connection = socket.accept();
                        Threads.start("connection", () -> answer(id, connection));
                    }
                });
    }

    private synchronized boolean isNextReset() {
        return ++mAnswers % RESET_EACH == 0 && mTrouble;
    }

    /** Answers as soon as the head is read; the end of the connection is the end of the answer. */
    private void answer(String id, Socket connection) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = connection.getInputStream();
            Http.Message head = Http.readHead(in);
            if (head == null) {
                return;
            }
            String attempt = head.header("x-attempt-id");
            boolean reset = isNextReset();
            Thread.sleep(20);
            OutputStream out = connection.getOutputStream();
            out.write(
                    ("HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                                    + attempt
                                    + "\r\nX-Server-Signature: 3e1b.800\r\nConnection: close\r\n\r\n")
                            .getBytes());
            out.write(new byte[SENT_BEFORE_RESET]);
            out.flush();
            Thread.sleep(10);
            if (reset) {
                connection.setSoLinger(true, 0);
                record(
                        "%s runs %s and resets its answer after %d of %d bytes",
                        id, attempt, SENT_BEFORE_RESET, WHOLE_BYTES);
                return;
            }
            out.write(new byte[WHOLE_BYTES - SENT_BEFORE_RESET]);
            out.flush();
            in.readNBytes(Integer.parseInt(head.header("content-length")));
            record("%s runs %s and answers with %d bytes", id, attempt, WHOLE_BYTES);
        }
    }
}
