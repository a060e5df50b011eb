import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Case: a burst of streams over kept connections, with bodies of the largest size that the manifest
 * allows.
 */
final class Bodies {
    private static final int BURST = 108;
    private static final int BODY_BYTES = 4_194_304;
    private static final int USUAL_BODY_BYTES = 1700;

    private Bodies() {}

    public static void main(String[] arguments) {
        Run.main(arguments[0], Bodies::play);
    }

    private static boolean play(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Manifest.version(1, "{'name':'digest','host':'desk.example','pathPrefix':'/digest/','kind':'streaming','service':'engines',"
                + "'timeoutMs':3000,'sloMs':2000,'gapSloMs':250,'attempts':2,'priority':2,'resumable':true,'sticky':true}"));
        for (int index = 0; index < 2; index++) {
            EngineServer engine = new EngineServer("i-e" + index, "engines", "z" + index, store, run);
            engine.models.add("m" + index);
            engine.firstEventMillis = 700;
            engine.events = 49;
            engine.eventMillis = 100;
            engine.start();
        }
        for (int index = 0; index < 3; index++) {
            new PlainServer("i-d" + index, "desk", "z" + index, store, run).start();
        }
        Run.Daemon host = run.daemon("front-z0-1", "z0", store).start();
        host.awaitReady();
        Thread.sleep(2000);
        run.note("the host is ready");
        List<Client> kept = new ArrayList<>();
        for (int index = 0; index < BURST; index++) {
            Client client = new Client(host.port, run);
            client.call("warm-" + index, "GET", "/stock/" + index, Map.of(), new byte[0], 2000);
            kept.add(client);
        }
        int size = run.trouble ? BODY_BYTES : USUAL_BODY_BYTES;
        run.note("the burst starts, bodies of " + size + " bytes");
        ExecutorService pool = Executors.newCachedThreadPool();
        List<Future<Client.Result>> burst = new ArrayList<>();
        for (int index = 0; index < BURST; index++) {
            Client client = kept.get(index);
            int number = index;
            burst.add(pool.submit(() -> send(client, number, size)));
            Thread.sleep(55);
        }
        int unanswered = 0;
        int passedOn = 0;
        int brokenOff = 0;
        for (int index = 0; index < BURST; index++) {
            Client.Result result = burst.get(index).get();
            if (!result.answered()) {
                unanswered++;
                if (run.wasRun(result.id())) {
                    passedOn += kept.get(index).responseBegun() ? 0 : 1;
                    brokenOff += kept.get(index).responseBegun() ? 1 : 0;
                }
            }
        }
        for (int number = 0; number < 5; number++) {
            Client.once(host.port, run, "after-" + number, "GET", "/stock/" + number, Map.of(), new byte[0], 2000);
        }
        long errors = host.log().stream().filter(line -> line.contains("OutOfMemoryError")).count();
        String summary =
                "requests sent " + BURST + ", closed without a complete answer " + unanswered
                        + ", of these passed on to a server " + (passedOn + brokenOff)
                        + " (" + brokenOff + " closed within the answer, " + passedOn + " before it)"
                        + "; log lines of the host with OutOfMemoryError " + errors;
        run.note(summary);
        System.out.println(summary);
        pool.shutdownNow();
        return passedOn + brokenOff > 3;
    }

    /** Sends one request; of 100, the kinds have the shares that they have on the site's sheet. */
    private static Client.Result send(Client client, int number, int size) {
        int share = number * 37 % 100;
        String model = "m" + number % 2;
        if (share < 55) {
            return client.call("quick-" + number, "POST", "/quick/" + number,
                    Map.of("X-Model", model, "X-Token-Usage", "826,294"), new byte[size], 12_000);
        }
        if (share < 60) {
            return client.call("builder-" + number, "POST", "/builder/" + number,
                    Map.of("X-Model", model, "X-Token-Usage", "826,294"), new byte[size], 25_000);
        }
        if (share < 73) {
            return client.call("digest-" + number, "POST", "/digest/" + number,
                    Map.of("X-Model", model, "X-Token-Usage", "2368,24"), new byte[size], 3000);
        }
        if (share < 92) {
            return client.call("booking-" + number, "POST", "/booking/" + number, Map.of(), new byte[size], 2000);
        }
        return client.call("lookup-" + number, "GET", "/stock/" + number, Map.of(), new byte[0], 2000);
    }
}
