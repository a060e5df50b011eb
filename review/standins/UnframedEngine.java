import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A model server as a process of its own, whose streams have neither a length nor chunks and end
 * with their connection. Arguments: its id, its model, the number of events, milliseconds between
 * them. It prints its port.
 */
final class UnframedEngine {
    private UnframedEngine() {}

    public static void main(String[] arguments) throws Exception {
        ServerSocket socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        System.out.println(socket.getLocalPort());
        while (true) {
            Socket connection = socket.accept();
            Server.thread("connection", () -> serve(connection, arguments));
        }
    }

    private static void serve(Socket connection, String[] arguments) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                if (!request.header("X-Expect-Instance").equals(arguments[0])) {
                    Server.send(out, 421, Map.of("X-Instance-Id", arguments[0]), new byte[0]);
                } else if (request.target().equals("/vanillaslip/report")) {
                    Server.send(out, 200, Map.of("Content-Type", "application/json"),
                            ("{\"stage\":\"colocated\",\"models\":[{\"name\":\"" + arguments[1]
                                    + "\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,\"queued\":0,"
                                    + "\"running\":0,\"kvUsed\":0,\"kvTotal\":130610,\"handles\":0}").getBytes());
                } else if (request.target().equals("/vanillaslip/order")) {
                    Server.send(out, 409, Map.of(), new byte[0]);
                } else if (!request.header("X-Model").equals(arguments[1])) {
                    Server.send(out, 421, Map.of("X-Instance-Id", arguments[0]), new byte[0]);
                } else {
                    stream(request, out, arguments);
                    return;
                }
            }
        }
    }

    private static void stream(Http.Message request, OutputStream out, String[] arguments)
            throws IOException, InterruptedException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
        headers.put("X-Server-Signature", "sig-" + arguments[0]);
        headers.put("Content-Type", "text/event-stream");
        headers.put("Connection", "close");
        out.write(Http.head("HTTP/1.1 200 OK", headers));
        String after = request.header("Last-Event-Id");
        int events = Integer.parseInt(arguments[2]);
        for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= events; event++) {
            Thread.sleep(Long.parseLong(arguments[3]));
            out.write(("id: " + event + "\ndata: piece " + event + " of " + events + "\n\n").getBytes());
            out.flush();
        }
    }
}
