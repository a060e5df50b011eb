import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages over plain streams. */
final class Http {

    private Http() {}

    /** A message; the names of its headers are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the head; returns null if the stream ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the head is incomplete");
            }
            if (line.isEmpty()) {
                return new Message(startLine, headers, new byte[0]);
            }
            int colon = line.indexOf(':');
            headers.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip(),
                    (one, other) -> one + ", " + other);
        }
    }

    /** Reads a request; returns null if the stream ends before its first byte. */
    static Message readRequest(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.startLine, head.headers, readBody(in, head));
    }

    /** Reads a response with its whole body; throws if the body is cut. */
    static Message readResponse(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            throw new EOFException("no answer");
        }
        boolean framed =
                !head.header("content-length").isEmpty()
                        || !head.header("transfer-encoding").isEmpty();
        byte[] body = framed ? readBody(in, head) : in.readAllBytes();
        return new Message(head.startLine, head.headers, body);
    }

    private static byte[] readBody(InputStream in, Message head) throws IOException {
        if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) {
                    return body.toByteArray();
                }
                body.writeBytes(chunk);
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the body is incomplete");
        }
        int size = Integer.parseInt(line.split(";")[0].strip(), 16);
        byte[] chunk = readExactly(in, size);
        readLine(in);
        return chunk;
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body is incomplete");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is incomplete");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Returns a response with a length. */
    static byte[] response(int status, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return join(head.toString().getBytes(StandardCharsets.ISO_8859_1), body);
    }

    static byte[] join(byte[] one, byte[] other) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(one);
        out.writeBytes(other);
        return out.toByteArray();
    }
}
