import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A manifest of 1,450 routes changes twelve times within four seconds; hosts have links of 7
 * Mbit/s. One of the versions takes a key away, and each adds a route.
 */
final class ManifestStorm extends Case {

    private static final double LINK_MEGABITS = 7;
    private static final int ROUTES = 1450;
    private static final int VERSIONS = 12;
    private static final int REVOKING_VERSION = 4;
    private static final long GAP_MILLIS = 330;
    private static final double APPLY_SECONDS = 3;
    private static final String LOST_KEY = "n2ctnfzs989anu6wsjnb";

    private final Store mStore = new Store();
    private final AtomicInteger mNextId = new AtomicInteger();
    private final Set<String> mLateIds = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mLateRuns = new AtomicInteger();
    private final AtomicInteger mLateRefusals = new AtomicInteger();
    private final List<Object> mRoutes = new ArrayList<>();
    private boolean mKeyHeld = true;
    private long mVersion = 7;

    private ManifestStorm(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws IOException {
        new ManifestStorm(arguments).runAndExit();
    }

    @Override
    int run() throws Exception {
        String store = mStore.newEndpoint().address();
        for (int index = 0; index < ROUTES; index++) {
            addRoute();
        }
        writeManifest();
        for (String zone : List.of("jongno-a", "mapo-b", "gangnam-c")) {
            new Server(mStore, "i-" + zone, "booking-desk", zone, 6, List.of(), this::answer);
        }
        for (String zone : List.of("jongno-a", "mapo-b")) {
            SlowLink link = new SlowLink(store, LINK_MEGABITS);
            addHost("frontend-" + zone + "-1", zone, link.address(), LINK_MEGABITS)
                    .start();
        }
        for (Host host : mHosts) {
            if (!Platform.awaitReady(host, 20_000)) {
                record("%s does not get ready", host.mName);
                return COULD_NOT_RUN;
            }
        }
        Threads.sleep(5000);
        for (Host host : mHosts) {
            if (ask(host, Platform.KEY, newestRoute()) != 200 || ask(host, LOST_KEY, 0) != 200) {
                record("%s does not serve the first manifest", host.mName);
                return COULD_NOT_RUN;
            }
        }
        double revoked = 0;
        int versions = mTrouble ? VERSIONS : 1;
        for (int change = 0; change < versions; change++) {
            if (change == REVOKING_VERSION || !mTrouble) {
                mKeyHeld = false;
                revoked = seconds();
            }
            addRoute();
            writeManifest();
            Threads.sleep(GAP_MILLIS);
        }
        record("the last version is acknowledged; the key is gone since %.1f s", revoked);
        Threads.sleep((long) (APPLY_SECONDS * 1000));
        record("configApplyMs after the last ack");
        for (int round = 0; round < 60; round++) {
            for (Host host : mHosts) {
                askLate(host);
            }
            Threads.sleep(250);
        }
        record(
                "sent later than configApplyMs after the ack: %d requests run with the key that was"
                        + " taken away, %d refused with 404 on the newest route",
                mLateRuns.get(), mLateRefusals.get());
        return mLateRuns.get() + mLateRefusals.get() > 0 ? BROKEN : HELD;
    }

    /** Sends requests that only an older version allows, and one that only the newest allows. */
    private void askLate(Host host) {
        String id = "late-" + mNextId.incrementAndGet();
        mLateIds.add(id);
        ask(host, LOST_KEY, 0, id);
        if (ask(host, Platform.KEY, newestRoute()) == 404) {
            mLateRefusals.incrementAndGet();
        }
    }

    private int ask(Host host, String key, int route) {
        return ask(host, key, route, "a-" + mNextId.incrementAndGet());
    }

    private int ask(Host host, String key, int route, String id) {
        int status = 0;
        try (Socket socket = Platform.connect(host.mPort, 2000)) {
            Platform.send(
                    socket,
                    Platform.head("GET", String.format("/p%07d/2f", route), id, 1012, 0)
                            .replace(Platform.KEY, key));
            status = Http.readResponse(socket.getInputStream()).status();
        } catch (IOException ended) {
            record("request %s has no answer: %s", id, ended.getMessage());
        }
        record(
                "request %s to %s, route %d, key %s: %d",
                id, host.mName, route, key.equals(LOST_KEY) ? "taken away" : "held", status);
        return status;
    }

    private int newestRoute() {
        return mRoutes.size() - 1;
    }

    private void addRoute() {
        String name = String.format("%07d", mRoutes.size());
        mRoutes.add(
                Platform.route(
                        "r-" + name, "/p" + name + "/", "idempotent", "booking-desk", 1012, 195, 2,
                        false));
    }

    private void writeManifest() {
        mVersion += 2;
        Map<String, Object> manifest =
                Platform.manifest(
                        mVersion,
                        List.copyOf(mRoutes),
                        List.of(Platform.plainService("booking-desk")));
        List<String> keys =
                mKeyHeld ? List.of(Platform.KEY, LOST_KEY) : List.of(Platform.KEY);
        manifest.put(
                "tenants",
                List.of(
                        Json.of(
                                "name", "hule930", "apiKeys", keys, "ratePerS", 0L, "burst", 0L,
                                "unit", "token_count", "plainTokens", 1L)));
        mStore.put("config", "main", manifest);
        record(
                "manifest %d is acknowledged: %d routes, %d keys, %d bytes",
                mVersion, mRoutes.size(), keys.size(), Json.write(manifest).length());
    }

    private void answer(Server server, Http.Message request, Socket connection) throws Exception {
        String id = request.header("x-attempt-id");
        record("%s runs %s", server.mId, id);
        if (mLateIds.contains(id)) {
            mLateRuns.incrementAndGet();
        }
        Thread.sleep(43);
        connection
                .getOutputStream()
                .write(
                        Http.response(
                                200,
                                "answer".getBytes(),
                                "X-Attempt-Id: " + id,
                                "X-Server-Signature: 3e1b"));
    }
}
