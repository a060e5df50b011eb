import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, with one revision counter and watches. */
final class Store {

    private static final long HISTORY_NANOS = 20_000_000_000L;

    private record Change(
            long revision,
            String kind,
            Map<String, Object> object,
            boolean deleted,
            long nanos) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> mKinds = new HashMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private long mRevision = 100;

    /** Changes up to this revision are no longer in the history. */
    private long mForgottenUpTo = 100;

    /** One address of the store; what it does to its callers can be changed at any time. */
    final class Endpoint {
        private final ServerSocket mSocket;

        /** Milliseconds by which each answer is later. */
        volatile long mDelayMillis;

        /** Whether calls are answered with 503, which promises that nothing was done. */
        volatile boolean mRejecting;

        /** Whether calls get no answer at all and are not carried out. */
        volatile boolean mSilent;

        Endpoint() throws IOException {
            mSocket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            Threads.start("store", this::accept);
        }

        String address() {
            return "127.0.0.1:" + mSocket.getLocalPort();
        }

        private void accept() throws IOException {
            while (true) {
                Socket connection = mSocket.accept();
                connection.setTcpNoDelay(true);
                Threads.start("store connection", () -> serve(connection));
            }
        }

        private void serve(Socket connection) throws Exception {
            try (connection) {
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Http.Message call = Http.readRequest(connection.getInputStream());
                    if (call == null) {
                        return;
                    }
                    if (mSilent) {
                        Thread.sleep(60_000);
                        return;
                    }
                    Thread.sleep(4 + mDelayMillis);
                    out.write(mRejecting ? answer(503, Json.of()) : handle(call));
                    out.flush();
                }
            }
        }
    }

    Endpoint newEndpoint() throws IOException {
        return new Endpoint();
    }

    /** Writes an object as the operator or a server does. */
    synchronized long put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> known = objects(kind).get(name);
        if (known != null && isSame(kind, known.get("spec"), spec)) {
            return mRevision;
        }
        return record(kind, name, spec, known);
    }

    /** An entry of a server changes when more than its "seq" changes. */
    private static boolean isSame(String kind, Object known, Map<String, Object> spec) {
        if (!kind.equals("servers")) {
            return known.equals(spec);
        }
        Map<Object, Object> before = new HashMap<>((Map<?, ?>) known);
        Map<Object, Object> after = new HashMap<>(spec);
        before.remove("seq");
        after.remove("seq");
        return before.equals(after);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = objects(kind).remove(name);
        if (known != null) {
            Map<String, Object> last = withRevision(known, ++mRevision);
            addToHistory(kind, last, true);
            notifyAll();
        }
    }

    @SuppressWarnings("unchecked")
    synchronized Map<String, Object> spec(String kind, String name) {
        Map<String, Object> known = objects(kind).get(name);
        return known == null ? null : (Map<String, Object>) known.get("spec");
    }

    synchronized int count(String kind) {
        return objects(kind).size();
    }

    private long record(
            String kind, String name, Map<String, Object> spec, Map<String, Object> known) {
        long revision = ++mRevision;
        Map<String, Object> object =
                Json.of(
                        "metadata",
                        Json.of(
                                "name", name,
                                "revision", revision,
                                "created", known == null ? revision : created(known),
                                "finalizers", List.of(),
                                "deleting", false),
                        "spec",
                        spec,
                        "status",
                        Json.of());
        objects(kind).put(name, object);
        addToHistory(kind, object, false);
        notifyAll();
        return revision;
    }

    private void addToHistory(String kind, Map<String, Object> object, boolean deleted) {
        mHistory.add(new Change(mRevision, kind, object, deleted, System.nanoTime()));
    }

    private void forget() {
        while (!mHistory.isEmpty()
                && System.nanoTime() - mHistory.get(0).nanos() > HISTORY_NANOS) {
            mForgottenUpTo = mHistory.remove(0).revision();
        }
    }

    @SuppressWarnings("unchecked")
    private static Object created(Map<String, Object> object) {
        return ((Map<String, Object>) object.get("metadata")).get("created");
    }

    @SuppressWarnings("unchecked")
    private static long revision(Map<String, Object> object) {
        return (Long) ((Map<String, Object>) object.get("metadata")).get("revision");
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> withRevision(Map<String, Object> object, long revision) {
        Map<String, Object> metadata = new HashMap<>((Map<String, Object>) object.get("metadata"));
        metadata.put("revision", revision);
        Map<String, Object> copy = new HashMap<>(object);
        copy.put("metadata", metadata);
        return copy;
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return mKinds.computeIfAbsent(kind, name -> new TreeMap<>());
    }

    private byte[] handle(Http.Message call) throws InterruptedException {
        String[] parts = call.target().split("\\?", 2);
        String[] path = parts[0].substring(1).split("/");
        Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : "";
        return switch (call.method()) {
            case "GET" ->
                    query.containsKey("watch")
                            ? watch(kind, query)
                            : name.isEmpty() ? list(kind, query) : read(kind, name);
            case "POST" -> create(kind, call);
            case "PUT" -> update(kind, name, path.length > 4, call);
            case "DELETE" -> delete(kind, name, query);
            default -> answer(405, Json.of());
        };
    }

    private synchronized byte[] read(String kind, String name) {
        Map<String, Object> object = objects(kind).get(name);
        return object == null ? answer(404, Json.of()) : answer(200, object);
    }

    private synchronized byte[] list(String kind, Map<String, String> query) {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (Map<String, Object> object :
                objects(kind).tailMap(query.getOrDefault("after", ""), false).values()) {
            if (items.size() == 500) {
                more = true;
                break;
            }
            items.add(object);
        }
        return answer(200, Json.of("items", items, "hasMore", more, "currentRev", mRevision));
    }

    private synchronized byte[] watch(String kind, Map<String, String> query)
            throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long end =
                System.nanoTime()
                        + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            forget();
            if (from < mForgottenUpTo) {
                return answer(410, Json.of("currentRev", mRevision));
            }
            List<Object> events = new ArrayList<>();
            for (Change change : mHistory) {
                if (change.revision > from && change.kind.equals(kind)) {
                    events.add(Json.of("object", change.object, "deleted", change.deleted));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return answer(200, Json.of("events", events, "currentRev", mRevision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized byte[] create(String kind, Http.Message call) {
        Map<String, Object> object = Json.object(call.text());
        String name = (String) ((Map<String, Object>) object.get("metadata")).get("name");
        if (objects(kind).containsKey(name)) {
            return answer(409, objects(kind).get(name));
        }
        record(kind, name, (Map<String, Object>) object.get("spec"), null);
        return answer(200, objects(kind).get(name));
    }

    @SuppressWarnings("unchecked")
    private synchronized byte[] update(
            String kind, String name, boolean status, Http.Message call) {
        Map<String, Object> known = objects(kind).get(name);
        if (known == null) {
            return answer(404, Json.of());
        }
        Map<String, Object> object = Json.object(call.text());
        Object expected = ((Map<String, Object>) object.get("metadata")).get("revision");
        if (expected != null && (Long) expected != revision(known)) {
            return answer(409, known);
        }
        if (!status && !known.get("spec").equals(object.get("spec"))) {
            record(kind, name, (Map<String, Object>) object.get("spec"), known);
        }
        return answer(200, objects(kind).get(name));
    }

    private synchronized byte[] delete(String kind, String name, Map<String, String> query) {
        Map<String, Object> known = objects(kind).get(name);
        if (known == null) {
            return answer(404, Json.of());
        }
        String expected = query.get("revision");
        if (expected != null && Long.parseLong(expected) != revision(known)) {
            return answer(409, known);
        }
        remove(kind, name);
        return answer(200, known);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    /** Passes on the bytes that the writers of the objects sent, whatever they are. */
    private static byte[] answer(int status, Object body) {
        return Http.response(
                status, Json.bytes(Json.write(body)), "Content-Type: application/json");
    }
}
