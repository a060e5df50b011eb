import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it: linearizable, with watches. */
final class Store {
    private record Change(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final ServerSocket socket;
    private long revision = 1;

    Store() throws IOException {
        socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Thread accept = new Thread(this::accept, "store");
        accept.setDaemon(true);
        accept.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Writes an object as a server or the operator does. */
    synchronized void put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> old = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        save(kind, name, spec, old);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> old = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (old != null) {
            revision++;
            Map<String, Object> last = copy(old);
            metadata(last).put("revision", revision);
            history.add(new Change(revision, kind, last, true));
            notifyAll();
        }
    }

    synchronized Map<String, Object> spec(String kind, String name) {
        Map<String, Object> found = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return found == null ? null : child(found, "spec");
    }

    private Map<String, Object> save(
            String kind, String name, Map<String, Object> spec, Map<String, Object> old) {
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("created", old == null ? revision : metadata(old).get("created"));
        metadata.put("finalizers", List.of());
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", Map.of());
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
        history.add(new Change(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private static Map<String, Object> copy(Map<String, Object> object) {
        Map<String, Object> copy = new LinkedHashMap<>(object);
        copy.put("metadata", new LinkedHashMap<>(metadata(object)));
        return copy;
    }

    private static Map<String, Object> metadata(Map<String, Object> object) {
        return child(object, "metadata");
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> child(Map<String, Object> object, String name) {
        Object value = object.get(name);
        return value == null ? new LinkedHashMap<>() : (Map<String, Object>) value;
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = socket.accept();
                Thread thread = new Thread(() -> serve(connection), "store-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) {
                    return;
                }
                Object[] answer = answer(request);
                byte[] body = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("Content-Type", "application/json");
                headers.put("Content-Length", String.valueOf(body.length));
                Thread.sleep(4);
                out.write(Http.head("HTTP/1.1 " + answer[0] + " x", headers));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] answer(Http.Message request) throws InterruptedException {
        String[] target = request.target().split("\\?", 2);
        String[] path = target[0].replaceFirst("^/vanillaslip/objects/", "").split("/");
        String kind = path[0];
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] words = pair.split("=", 2);
                query.put(words[0], words.length > 1 ? words[1] : "");
            }
        }
        Map<String, Object> body =
                request.body().length == 0
                        ? new LinkedHashMap<>()
                        : (Map<String, Object>)
                                Json.parse(new String(request.body(), StandardCharsets.UTF_8));
        TreeMap<String, Map<String, Object>> objects =
                kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        if (request.method().equals("POST")) {
            String created = String.valueOf(metadata(body).get("name"));
            Map<String, Object> found = objects.get(created);
            return found != null
                    ? new Object[] {409, found}
                    : new Object[] {201, save(kind, created, child(body, "spec"), null)};
        }
        if (name.isEmpty()) {
            return query.containsKey("watch")
                    ? watch(kind, Long.parseLong(query.get("watch")), query)
                    : list(objects, query.getOrDefault("after", ""));
        }
        Map<String, Object> found = objects.get(name);
        if (found == null) {
            return new Object[] {404, Map.of("error", "none")};
        }
        Object expected =
                query.containsKey("revision")
                        ? (Object) Long.parseLong(query.get("revision"))
                        : metadata(body).get("revision");
        boolean conflict = expected != null && !expected.equals(metadata(found).get("revision"));
        switch (request.method()) {
            case "GET":
                return new Object[] {200, found};
            case "PUT":
                return conflict
                        ? new Object[] {409, found}
                        : new Object[] {200, save(kind, name, child(body, "spec"), found)};
            default:
                if (conflict) {
                    return new Object[] {409, found};
                }
                remove(kind, name);
                return new Object[] {200, found};
        }
    }

    private Object[] list(TreeMap<String, Map<String, Object>> objects, String after) {
        List<Object> items = new ArrayList<>(objects.tailMap(after, after.isEmpty()).values());
        boolean hasMore = items.size() > 500;
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", hasMore ? items.subList(0, 500) : items);
        page.put("hasMore", hasMore);
        page.put("currentRev", revision);
        return new Object[] {200, page};
    }

    private Object[] watch(String kind, long since, Map<String, String> query)
            throws InterruptedException {
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.kind().equals(kind) && change.revision() > since) {
                    Map<String, Object> event = new LinkedHashMap<>();
                    event.put("object", change.object());
                    event.put("deleted", change.deleted());
                    events.add(event);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                Map<String, Object> answer = new LinkedHashMap<>();
                answer.put("events", events);
                answer.put("currentRev", revision);
                return new Object[] {200, answer};
            }
            wait(left);
        }
    }
}
