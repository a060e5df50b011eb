import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** A request or response; of a response, {@code method} is the version and {@code target} the status. */
    record Message(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(target);
        }
    }

    /** Returns the head of the next message, or null if the connection ended before it. */
    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("connection ended within a head");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String[] words = first.split(" ", 3);
        return new Message(words[0], words[1], headers, new byte[0]);
    }

    static byte[] readBody(InputStream in, Message head, boolean response) throws IOException {
        if (head.header("Transfer-Encoding").toLowerCase().contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("connection ended within a body");
                }
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (bytes == 0) {
                    while (true) {
                        String trailer = line(in);
                        if (trailer == null) {
                            throw new EOFException("connection ended within a trailer");
                        }
                        if (trailer.isEmpty()) {
                            return body.toByteArray();
                        }
                    }
                }
                body.write(exactly(in, bytes));
                line(in);
            }
        }
        if (!head.header("Content-Length").isEmpty()) {
            return exactly(in, Integer.parseInt(head.header("Content-Length")));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    static Message read(InputStream in, boolean response) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        return new Message(head.method(), head.target(), head.headers(), readBody(in, head, response));
    }

    private static byte[] exactly(InputStream in, int bytes) throws IOException {
        byte[] read = in.readNBytes(bytes);
        if (read.length < bytes) {
            throw new EOFException("connection ended within a body");
        }
        return read;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended within a line");
            }
            if (c == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (c != '\r') {
                line.write(c);
            }
        }
    }

    static byte[] head(String first, Map<String, String> headers) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
