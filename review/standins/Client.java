import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A requester with one connection. */
final class Client implements AutoCloseable {
    /** What a requester got: a complete response, or the reason why there is none. */
    record Result(String id, int status, Map<String, String> headers, byte[] body, String failure) {
        boolean answered() {
            return status > 0;
        }
    }

    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    private final Socket socket;
    private final BufferedInputStream in;
    private final Run run;
    /** Whether the last response has begun. */
    private volatile boolean headRead;

    Client(int port, Run run) throws IOException {
        this.run = run;
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    boolean responseBegun() {
        return headRead;
    }

    static Result once(
            int port, Run run, String id, String method, String target, Map<String, String> extra, byte[] body, int waitMillis) {
        try (Client client = new Client(port, run)) {
            return client.call(id, method, target, extra, body, waitMillis);
        } catch (IOException e) {
            run.note("request " + id + " had no connection: " + e.getMessage());
            return new Result(id, 0, Map.of(), new byte[0], "no connection: " + e.getMessage());
        }
    }

    Result call(String id, String method, String target, Map<String, String> extra, byte[] body, int waitMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "desk.example");
        headers.put("X-Attempt-Id", id);
        headers.put("Authorization", "Bearer " + KEY);
        headers.put("X-Deadline-Ms", String.valueOf(waitMillis));
        headers.putAll(extra);
        if (body.length > 0 || method.equals("POST")) {
            headers.put("Content-Length", String.valueOf(body.length));
        }
        headRead = false;
        try {
            run.note("request " + id + " " + method + " " + target + " " + body.length + " bytes");
            socket.setSoTimeout(waitMillis + 3000);
            socket.getOutputStream().write(Http.head(method + " " + target + " HTTP/1.1", headers));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            long sent = run.millis();
            Http.Message head = Http.readHead(in);
            headRead = head != null;
            Http.Message answer = head == null ? null
                    : new Http.Message(head.method(), head.target(), head.headers(), Http.readBody(in, head, true));
            if (answer == null) {
                run.note("request " + id + " closed without an answer " + (run.millis() - sent) + " ms after it was sent");
                return new Result(id, 0, Map.of(), new byte[0], "closed");
            }
            run.note("request " + id + " answered " + answer.status() + " " + (run.millis() - sent) + " ms after it was sent"
                    + (answer.status() >= 400 ? " " + new String(answer.body()).replaceAll(",\"message.*", "") : ""));
            return new Result(id, answer.status(), answer.headers(), answer.body(), "");
        } catch (IOException e) {
            run.note("request " + id + " failed: " + e);
            return new Result(id, 0, Map.of(), new byte[0], e.toString());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
