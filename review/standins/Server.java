import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A backend server that registers itself in the store. */
abstract class Server {
    final String name;
    final String service;
    final String zone;
    final Store store;
    final Run run;
    final long born = System.currentTimeMillis();
    private final ServerSocket socket;
    private long sequence;
    volatile String state = "ready";

    Server(String name, String service, String zone, Store store, Run run) throws IOException {
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.run = run;
        socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Fields that a server adds to what it says of itself. */
    void describe(Map<String, Object> entry) {}

    abstract int slots();

    /** Answers a request that is meant for this server; returns whether the connection stays open. */
    abstract boolean answer(Http.Message request, BufferedInputStream in, OutputStream out)
            throws IOException, InterruptedException;

    synchronized void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("addr", address());
        entry.put("zone", zone);
        entry.put("version", "1");
        entry.put("slots", (long) slots());
        entry.put("state", state);
        entry.put("coldLeftMs", 0L);
        entry.put("born", born);
        entry.put("seq", sequence++);
        describe(entry);
        store.put("servers", name, entry);
    }

    Server start() {
        register();
        thread(
                "accept-" + name,
                () -> {
                    while (true) {
                        Socket connection = socket.accept();
                        thread("connection-" + name, () -> serve(connection));
                    }
                });
        thread(
                "heartbeat-" + name,
                () -> {
                    while (true) {
                        Thread.sleep(1200);
                        register();
                    }
                });
        return this;
    }

    /** Thrown to reset the connection. */
    static final class ResetException extends IOException {}

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The connection has ended.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            boolean open = true;
            while (open) {
                Http.Message request = Http.read(in, false);
                if (request == null) {
                    return;
                }
                String expected = request.header("X-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(name)) {
                    send(out, 421, Map.of("X-Instance-Id", name), new byte[0]);
                } else {
                    try {
                        open = answer(request, in, out);
                    } catch (ResetException e) {
                        connection.setSoLinger(true, 0);
                        return;
                    }
                }
            }
        }
    }

    static void send(OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Length", String.valueOf(body.length));
        out.write(Http.head("HTTP/1.1 " + status + " x", all));
        out.write(body);
        out.flush();
    }

    /** Headers of a response to the request. */
    Map<String, String> signed(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
        headers.put("X-Server-Signature", "sig-" + name + "-" + request.header("X-Attempt-Id"));
        return headers;
    }
}
