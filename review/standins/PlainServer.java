import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A plain service, such as an order desk, with six slots and a short queue. */
class PlainServer extends Server {
    private final Semaphore slots = new Semaphore(6, true);
    private final AtomicInteger present = new AtomicInteger();
    volatile long workMillis = 20;
    /** Share of the requests that hang: they run, and no answer comes. */
    volatile double hangShare;
    /** Share of the requests that fail with a reset of their connection. */
    volatile double resetShare;
    private final java.util.Random random = new java.util.Random(7);

    PlainServer(String name, String service, String zone, Store store, Run run) throws IOException {
        super(name, service, zone, store, run);
    }

    @Override
    int slots() {
        return 6;
    }

    @Override
    boolean answer(Http.Message request, BufferedInputStream in, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("X-Attempt-Id");
        if (id.isEmpty()) {
            send(out, 200, java.util.Map.of("X-Instance-Id", name), new byte[0]);
            return true;
        }
        if (present.incrementAndGet() > 30) {
            present.decrementAndGet();
            send(out, 503, java.util.Map.of("X-Not-Executed", "1"), new byte[0]);
            return true;
        }
        slots.acquire();
        try {
            run.ran(name, request);
            if (random.nextDouble() < resetShare) {
                run.note("server " + name + " resets the connection of " + id);
                throw new ResetException();
            }
            if (random.nextDouble() < hangShare) {
                run.note("server " + name + " hangs with " + id);
                slots.release();
                try {
                    while (in.read() >= 0) {
                        Thread.onSpinWait();
                    }
                } finally {
                    slots.acquire();
                }
                return false;
            }
            Thread.sleep(request.target().contains("/long") ? 900 : workMillis);
            send(out, 200, signed(request), ("done " + id).getBytes());
            run.note("server " + name + " answered " + id);
            return true;
        } finally {
            slots.release();
            present.decrementAndGet();
        }
    }
}
