import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The manifest grows by many routes, twice. Then all processes of the system are killed and start
 * again, on machines with links of 7 Mbit/s.
 */
final class ManyRoutes extends Case {

    private static final double LINK_MEGABITS = 7;
    private static final int ROUTES_MORE = 1840;
    private static final double RECOVERY_SECONDS = 15;
    private static final double MIN_SERVED_PART = 0.25;
    private static final int MAX_VALUE_BYTES = 1_048_576;

    private final Store mStore = new Store();
    private final AtomicInteger mNextId = new AtomicInteger();
    private final List<Object> mRoutes = new ArrayList<>();
    private long mVersion = 7;

    private ManyRoutes(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws IOException {
        new ManyRoutes(arguments).runAndExit();
    }

    @Override
    int run() throws Exception {
        String store = mStore.newEndpoint().address();
        addRoutes(50);
        for (String zone : List.of("hokkaido-a", "hokkaido-b", "hokkaido-c")) {
            new Server(mStore, "i-" + zone, "kifu-app", zone, 6, List.of(), this::answer);
        }
        for (String zone : List.of("hokkaido-a", "hokkaido-b")) {
            SlowLink link = new SlowLink(store, LINK_MEGABITS);
            addHost("frontend-" + zone + "-1", zone, link.address(), LINK_MEGABITS)
                    .start();
        }
        for (Host host : mHosts) {
            if (!Platform.awaitReady(host, 20_000)) {
                record("%s does not get ready at the first start", host.mName);
                return COULD_NOT_RUN;
            }
        }
        int[] before = send(4);
        for (int change = 0; change < 2; change++) {
            addRoutes(mTrouble ? ROUTES_MORE : 0);
            add(before, send(6));
            record("a request on the newest route: %d", askNewestRoute());
        }
        record("before the final fault: %d of %d served", before[0], before[1]);
        for (Host host : mHosts) {
            host.signal("KILL");
        }
        record("the final fault: all processes of the system are killed");
        Threads.sleep(1500);
        for (Host host : mHosts) {
            host.start();
        }
        double back = seconds();
        record("all processes are started again");
        int[] during = send(RECOVERY_SECONDS);
        record("in the first 15 s: %d of %d served", during[0], during[1]);
        int[] after = send(10);
        record(
                "later than recoveryS = 15 s after %.1f s: %d of %d served",
                back, after[0], after[1]);
        for (Host host : mHosts) {
            record(
                    "%s is %s and says that it is %s",
                    host.mName,
                    host.isRunning() ? "running" : "not running",
                    Platform.isReady(host) ? "ready" : "not ready");
        }
        if (before[0] < MIN_SERVED_PART * before[1]) {
            return COULD_NOT_RUN;
        }
        return after[0] < MIN_SERVED_PART * after[1] ? BROKEN : HELD;
    }

    /** Writes a version of the manifest with more routes, of the fields that the pages show. */
    private void addRoutes(int count) {
        for (int index = 0; index < count; index++) {
            String name = String.format("%07d", mRoutes.size());
            mRoutes.add(
                    Platform.route(
                            "r-" + name, "/p" + name + "/", "idempotent", "kifu-app", 2531, 195, 2,
                            false));
        }
        mVersion += 2;
        var manifest =
                Platform.manifest(mVersion, mRoutes, List.of(Platform.plainService("kifu-app")));
        int bytes = Json.write(manifest).length();
        if (bytes > MAX_VALUE_BYTES) {
            throw new IllegalStateException("the manifest is longer than valueBytes");
        }
        mStore.put("config", "main", manifest);
        record("manifest %d: %d routes, %d bytes", mVersion, mRoutes.size(), bytes);
    }

    private int askNewestRoute() {
        String path = String.format("/p%07d/2f", mRoutes.size() - 1);
        try {
            return Platform.call(
                            mHosts.get(0).mPort, "GET", path, "n-" + mNextId.incrementAndGet(),
                            2531, new byte[0])
                    .status();
        } catch (IOException ended) {
            return 0;
        }
    }

    private static void add(int[] sum, int[] counts) {
        sum[0] += counts[0];
        sum[1] += counts[1];
    }

    /** Sends 20 requests a second to all hosts in turn; returns how many were served and sent. */
    private int[] send(double seconds) {
        AtomicInteger served = new AtomicInteger();
        int sent = 0;
        double end = seconds() + seconds;
        while (seconds() < end) {
            int number = mNextId.incrementAndGet();
            Host host = mHosts.get(number % mHosts.size());
            sent++;
            Threads.start("requester", () -> request(host, "a-" + number, served));
            Threads.sleep(50);
        }
        Threads.sleep(2700);
        return new int[] {served.get(), sent};
    }

    private void request(Host host, String id, AtomicInteger served) {
        String outcome;
        try {
            Http.Message answer =
                    Platform.call(host.mPort, "GET", "/p0000000/2f", id, 2531, new byte[0]);
            outcome = Integer.toString(answer.status());
            if (answer.status() == 200) {
                served.incrementAndGet();
            }
        } catch (IOException ended) {
            outcome = ended.getClass().getSimpleName();
        }
        record("request %s to %s: %s", id, host.mName, outcome);
    }

    private void answer(Server server, Http.Message request, Socket connection) throws Exception {
        Thread.sleep(43);
        record("%s runs %s", server.mId, request.header("x-attempt-id"));
        connection
                .getOutputStream()
                .write(
                        Http.response(
                                200,
                                "answer".getBytes(),
                                "X-Attempt-Id: " + request.header("x-attempt-id"),
                                "X-Server-Signature: 3e1b"));
    }
}
