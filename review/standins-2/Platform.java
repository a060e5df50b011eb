import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the operator and requesters do. */
final class Platform {

    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private Platform() {}

    static Map<String, Object> route(
            String name, String prefix, String kind, String service, long timeout, long slo,
            long attempts, boolean resumable) {
        Map<String, Object> route =
                Json.of(
                        "name", name,
                        "host", HOST,
                        "pathPrefix", prefix,
                        "kind", kind,
                        "timeoutMs", timeout,
                        "sloMs", slo,
                        "priority", 0L,
                        "service", service,
                        "attempts", attempts,
                        "public", false,
                        "sticky", kind.equals("streaming"),
                        "resumable", resumable);
        if (kind.equals("streaming")) {
            route.put("gapSloMs", 250L);
        }
        return route;
    }

    static Map<String, Object> plainService(String name) {
        return Json.of(
                "name", name, "healthPath", "/healthz", "maxConns", 96L, "protocol", "h1", "tls",
                false, "coldStartS", 0.0, "coldPerS", 0.0);
    }

    static Map<String, Object> engineService(String name, List<String> models) {
        List<Object> profiles = new ArrayList<>();
        for (String model : models) {
            profiles.add(
                    Json.of(
                            "name", model, "weightsMb", 65100.0, "loadS", 6.0, "adapters", 0L,
                            "adapterMb", 12.0, "warmS", 0.57, "diskLoadS", 1.2));
        }
        return Json.of(
                "name", name,
                "healthPath", "/healthz",
                "maxConns", 290L,
                "protocol", "h1",
                "tls", false,
                "coldStartS", 3.0,
                "coldPerS", 18.0,
                "engine",
                Json.of(
                        "slots", 48L, "kvCapacity", 130610L, "stride", 6L, "weightsMb", 230000.0,
                        "adapterSlots", 8L, "loadsPerS", 4.8, "models", profiles));
    }

    static Map<String, Object> manifest(long version, List<Object> routes, List<Object> services) {
        return Json.of(
                "version", version,
                "routes", routes,
                "services", services,
                "tenants",
                List.of(
                        Json.of(
                                "name", "hule930", "apiKeys", List.of(KEY), "ratePerS", 0L,
                                "burst", 0L, "unit", "token_count", "plainTokens", 1L)),
                "limits",
                Json.of(
                        "maxHeaderBytes", 16384L, "maxBodyBytes", 1048576L, "headerTimeoutMs",
                        5000L, "idleTimeoutMs", 30000L));
    }

    /** Waits until the host's readiness address answers with 200. */
    static boolean awaitReady(Host host, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            if (isReady(host)) {
                return true;
            }
            Threads.sleep(100);
        }
        return false;
    }

    static boolean isReady(Host host) {
        try (Socket socket = connect(host.mReadinessPort, 1000)) {
            send(socket, "GET /vanillaslip/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            return Http.readResponse(socket.getInputStream()).status() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    static Socket connect(int port, int readTimeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setSoTimeout(readTimeoutMillis);
        return socket;
    }

    static void send(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sends one request on a new connection and returns the answer. */
    static Http.Message call(
            int port, String method, String target, String id, long deadline, byte[] body,
            String... headers)
            throws IOException {
        try (Socket socket = connect(port, (int) deadline + 2000)) {
            send(socket, head(method, target, id, deadline, body.length, headers));
            socket.getOutputStream().write(body);
            InputStream in = socket.getInputStream();
            return Http.readResponse(in);
        }
    }

    static String head(
            String method, String target, String id, long deadline, int length, String... headers) {
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        head.append("Host: ").append(HOST).append("\r\nX-Attempt-Id: ").append(id);
        head.append("\r\nX-Deadline-Ms: ").append(deadline);
        head.append("\r\nAuthorization: Bearer ").append(KEY).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        if (!method.equals("GET")) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        return head.append("\r\n").toString();
    }
}
