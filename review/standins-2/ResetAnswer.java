import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer long requests before they have read them, without a length; some of these answers
 * are reset on the way.
 */
final class ResetAnswer extends Case {

    /** One answer in twenty of half of the servers, for 5 s: the largest dose of the site. */
    private static final int RESET_EACH = 20;

    private static final Set<String> FAULTY = Set.of("i-0", "i-1");
    private static final double SPELL_SECONDS = 5;
    private static final double PAUSE_SECONDS = 2;
    private static final int SPELLS = 4;
    private static final int REQUESTERS = 3;

    private static final int WHOLE_BYTES = 800;
    private static final int SENT_BEFORE_RESET = 300;
    private static final int WINDOW_BYTES = 65_536;
    private static final int MAX_BODY_BYTES = 4_194_304;

    private final Store mStore = new Store();
    private final int mBodyBytes =
            Integer.parseInt(System.getenv().getOrDefault("BODY_BYTES", "4000000"));
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mCut = new AtomicInteger();
    private final AtomicInteger mResets = new AtomicInteger();
    private int mAnswers;
    private volatile boolean mSpell;
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
        for (int index = 0; index < 4; index++) {
            startServer("i-" + index, "scl-" + "abca".charAt(index));
        }
        Host host = addHost("frontend-scl-a-1", "scl-a", mStore.newEndpoint().address());
        host.start();
        if (!Platform.awaitReady(host, 20_000)) {
            record("%s does not get ready", host.mName);
            return COULD_NOT_RUN;
        }
        Threads.sleep(1000);
        List<Thread> requesters = new ArrayList<>();
        double end = seconds() + SPELLS * (SPELL_SECONDS + PAUSE_SECONDS);
        for (int index = 0; index < REQUESTERS; index++) {
            requesters.add(Threads.start("requester", () -> request(host, end)));
        }
        for (int spell = 0; spell < SPELLS; spell++) {
            Threads.sleep((long) (PAUSE_SECONDS * 1000));
            mSpell = mTrouble;
            record("half of the servers reset one answer in twenty from now on: %s", mSpell);
            Threads.sleep((long) (SPELL_SECONDS * 1000));
            mSpell = false;
            record("no answer is reset from now on");
        }
        for (Thread requester : requesters) {
            requester.join();
        }
        mEnding = true;
        record(
                "%d answers were reset; of %d requests %d got a success, %d of these with a body"
                        + " that isn't the server's whole body",
                mResets.get(), mRequests.get(), mServed.get(), mCut.get());
        if (mServed.get() < mRequests.get() / 2 || mTrouble && mResets.get() == 0) {
            return COULD_NOT_RUN;
        }
        return mCut.get() > 0 ? BROKEN : HELD;
    }

    private void request(Host host, double end) {
        byte[] body = new byte[mBodyBytes];
        while (seconds() < end) {
            String id = "a-" + mRequests.incrementAndGet();
            try {
                Http.Message answer =
                        Platform.call(host.mPort, "POST", "/puxa403/2f", id, 5000, body);
                boolean success = answer.status() == 200;
                if (success) {
                    mServed.incrementAndGet();
                }
                if (success && answer.body().length != WHOLE_BYTES) {
                    mCut.incrementAndGet();
                }
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

    private synchronized boolean isNextReset(String id) {
        return mSpell && FAULTY.contains(id) && ++mAnswers % RESET_EACH == 0;
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
            boolean reset = isNextReset(id);
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
                mResets.incrementAndGet();
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
