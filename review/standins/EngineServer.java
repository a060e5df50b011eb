import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A model server: takes orders, reports what it holds, and streams events. */
class EngineServer extends Server {
    final Set<String> models = ConcurrentHashMap.newKeySet();
    final AtomicInteger running = new AtomicInteger();
    volatile long loadMillis = 6000;
    volatile long firstEventMillis;
    volatile int events = 20;
    volatile long eventMillis = 50;
    private volatile boolean busy;
    private long accepted;

    EngineServer(String name, String service, String zone, Store store, Run run) throws IOException {
        super(name, service, zone, store, run);
    }

    @Override
    int slots() {
        return 48;
    }

    @Override
    void describe(Map<String, Object> entry) {
        List<Object> held = new ArrayList<>();
        for (String model : models) {
            held.add(new LinkedHashMap<>(Map.of("name", model, "version", 1L, "adapters", List.of())));
        }
        entry.put("stage", "colocated");
        entry.put("models", held);
        entry.put("available", Map.of("inMemory", List.of(), "onDisk", List.of()));
    }

    @Override
    boolean answer(Http.Message request, BufferedInputStream in, OutputStream out)
            throws IOException, InterruptedException {
        if (request.target().equals("/vanillaslip/report")) {
            Map<String, Object> report = new LinkedHashMap<>();
            describe(report);
            report.put("busy", busy);
            report.put("seq", accepted);
            report.put("queued", 0L);
            report.put("running", (long) running.get());
            report.put("kvUsed", 0L);
            report.put("kvTotal", 130610L);
            report.put("handles", 0L);
            report.put("born", born);
            send(out, 200, Map.of("Content-Type", "application/json"), Json.write(report).getBytes());
            return true;
        }
        if (request.target().equals("/vanillaslip/order")) {
            order(request, out);
            return true;
        }
        String id = request.header("X-Attempt-Id");
        if (!models.contains(request.header("X-Model"))) {
            send(out, 421, Map.of("X-Instance-Id", name), new byte[0]);
            return true;
        }
        stream(request, id, out);
        return true;
    }

    private synchronized void order(Http.Message request, OutputStream out) throws IOException {
        Map<String, Object> order = Json.object(new String(request.body()));
        run.note("order to " + name + " " + Json.write(order));
        Object expected = order.get("precondition");
        if (busy || expected != null && (Long) expected != accepted) {
            send(out, 409, Map.of(), new byte[0]);
            return;
        }
        String model = String.valueOf(order.get("model"));
        boolean load = order.get("op").equals("model_load");
        if (models.contains(model) == load) {
            send(out, 200, Map.of(), new byte[0]);
            return;
        }
        accepted++;
        busy = true;
        thread(
                "order-" + name,
                () -> {
                    Thread.sleep(load ? loadMillis : 20);
                    if (load) {
                        models.add(model);
                    } else {
                        models.remove(model);
                    }
                    busy = false;
                    register();
                    run.note("server " + name + " holds " + models);
                });
        send(out, 202, Map.of(), new byte[0]);
    }

    void stream(Http.Message request, String id, OutputStream out)
            throws IOException, InterruptedException {
        running.incrementAndGet();
        run.ran(name, request);
        try {
            Thread.sleep(firstEventMillis);
            Map<String, String> headers = signed(request);
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            out.write(Http.head("HTTP/1.1 200 OK", headers));
            out.flush();
            long first = request.header("Last-Event-Id").isEmpty()
                    ? 1 : Long.parseLong(request.header("Last-Event-Id")) + 1;
            int last = request.target().startsWith("/digest/") ? 4 : events;
            for (long event = first; event <= last; event++) {
                Thread.sleep(eventMillis);
                byte[] bytes = ("id: " + event + "\ndata: " + id + "-" + event + "\n\n").getBytes();
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
                out.write(bytes);
                out.write("\r\n".getBytes());
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
            run.note("server " + name + " completed " + id);
        } catch (IOException e) {
            run.note("server " + name + " lost the connection of " + id);
            throw e;
        } finally {
            running.decrementAndGet();
        }
    }
}
