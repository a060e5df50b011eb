import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of the platform, which registers itself in the store. */
final class Server {

    /** Answers one request; the connection is closed after it. */
    interface Handler {
        void handle(Server server, Http.Message request, Socket connection) throws Exception;
    }

    final String mId;
    final String mService;
    final String mZone;
    final int mSlots;
    private final Store mStore;
    private final Handler mHandler;
    private final List<String> mModels;
    private final ServerSocket mSocket;
    private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();
    private final long mBorn = System.currentTimeMillis();
    private long mSequence;
    private volatile long mOrders;
    private volatile boolean mEnded;
    private volatile String mState = "ready";

    Server(
            Store store,
            String id,
            String service,
            String zone,
            int slots,
            List<String> models,
            Handler handler)
            throws IOException {
        mStore = store;
        mId = id;
        mService = service;
        mZone = zone;
        mSlots = slots;
        mModels = models;
        mHandler = handler;
        mSocket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        writeEntry();
        Threads.start("server " + id, this::accept);
        Threads.start("heartbeat " + id, this::heartbeat);
    }

    int port() {
        return mSocket.getLocalPort();
    }

    void drain() {
        mState = "draining";
        writeEntry();
    }

    /** Ends the process: connections end, its entry stays until the store removes it. */
    void crash() throws IOException {
        mEnded = true;
        mSocket.close();
        for (Socket connection : mConnections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    private synchronized void writeEntry() {
        Map<String, Object> spec = entry();
        spec.put("seq", ++mSequence);
        mStore.put("servers", mId, spec);
    }

    private Map<String, Object> entry() {
        Map<String, Object> entry =
                Json.of(
                        "service", mService,
                        "addr", "127.0.0.1:" + port(),
                        "zone", mZone,
                        "version", "v1",
                        "slots", (long) mSlots,
                        "state", mState,
                        "coldLeftMs", 0L,
                        "born", mBorn);
        if (!mModels.isEmpty()) {
            entry.put("stage", "colocated");
            entry.put("models", models());
        }
        return entry;
    }

    private List<Map<String, Object>> models() {
        return mModels.stream()
                .map(model -> Json.of("name", model, "version", 1L, "adapters", List.of()))
                .toList();
    }

    private void heartbeat() throws InterruptedException {
        while (!mEnded) {
            Thread.sleep(1200);
            if (!mEnded) {
                writeEntry();
            }
        }
        Thread.sleep(3600);
        mStore.remove("servers", mId);
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = mSocket.accept();
            connection.setTcpNoDelay(true);
            mConnections.add(connection);
            Threads.start("server connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            while (true) {
                Http.Message request = Http.readRequest(connection.getInputStream());
                if (request == null) {
                    return;
                }
                OutputStream out = connection.getOutputStream();
                String expected = request.header("x-expect-instance");
                if (!expected.isEmpty() && !expected.equals(mId)) {
                    out.write(Http.response(421, new byte[0], "X-Instance-Id: " + mId));
                } else if (request.target().equals("/vanillaslip/report")) {
                    out.write(Http.response(200, Json.write(report()).getBytes()));
                } else if (request.target().equals("/vanillaslip/order")) {
                    // All models of these deployments are on their servers from the start.
                    out.write(Http.response(200, new byte[0]));
                } else {
                    mHandler.handle(this, request, connection);
                    return;
                }
                out.flush();
            }
        } finally {
            mConnections.remove(connection);
        }
    }

    private Map<String, Object> report() {
        return Json.of(
                "stage", "colocated",
                "models", models(),
                "busy", false,
                "seq", mOrders,
                "queued", 0L,
                "running", 0L,
                "kvUsed", 0L,
                "kvTotal", 130610L,
                "handles", 0L,
                "born", mBorn);
    }
}
