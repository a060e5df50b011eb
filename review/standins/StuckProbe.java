import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Case: the servers of a plain service fail part of their requests for some seconds. Some requests
 * last longer than their route's timeoutMs, before, during and after that.
 */
final class StuckProbe {
    /** As "fleetbench kinds" gives it for srv_grey. */
    private static final double FAILING_SHARE = 0.4;
    /** Longest srv_grey of the site file. */
    private static final long EPISODE_MILLIS = 6500;
    private static final long EPISODE_PERIOD = 7000;
    private static final int EPISODES = 4;
    private static final long FIRST_EPISODE = 500;
    private static final long LAST_END = FIRST_EPISODE + EPISODE_PERIOD * (EPISODES - 1) + EPISODE_MILLIS;
    private static final long END = 100_000;
    private static final long MILLIS_BETWEEN = 50;
    private static final String PLAN_ROUTE =
            "{'name':'plan','host':'desk.example','pathPrefix':'/plan/','kind':'non_idempotent',"
                    + "'service':'desk','timeoutMs':500,'sloMs':400,'attempts':2,'priority':2}";

    private final Map<String, int[]> counts = new TreeMap<>();

    public static void main(String[] arguments) {
        Run.main(arguments[0], run -> new StuckProbe().play(run));
    }

    private boolean play(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Manifest.version(1, PLAN_ROUTE));
        EngineServer engine = new EngineServer("i-e0", "engines", "z0", store, run);
        engine.models.add("m0");
        engine.events = 5;
        engine.eventMillis = 20;
        engine.start();
        List<PlainServer> desks = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            PlainServer desk = new PlainServer("i-d" + index, "desk", "z" + index, store, run);
            desk.start();
            desks.add(desk);
        }
        Run.Daemon host = run.daemon("front-z0-1", "z0", store).start();
        host.awaitReady();
        Thread.sleep(2000);
        run.note("the host is ready");
        ExecutorService pool = Executors.newCachedThreadPool();
        Random random = new Random();
        long start = run.millis();
        boolean failing = false;
        for (int number = 0; run.millis() - start < END; number++) {
            long time = run.millis() - start;
            boolean fail = run.trouble && time >= FIRST_EPISODE && time < LAST_END
                    && (time - FIRST_EPISODE) % EPISODE_PERIOD < EPISODE_MILLIS;
            if (fail != failing) {
                run.note(fail ? "the desk servers fail part of their requests" : "the desk servers are sound");
                failing = fail;
            }
            desks.forEach(desk -> desk.resetShare = fail ? FAILING_SHARE : 0);
            String phase = time > LAST_END + 3000 ? " later" : " until then";
            String id = "q" + number;
            int draw = number % 5 != 0 ? -1 : random.nextInt(100);
            boolean lasting = random.nextInt(3) > 0;
            pool.submit(() -> count(request(run, host.port, id, draw, lasting), phase));
            Thread.sleep(MILLIS_BETWEEN);
        }
        pool.shutdown();
        pool.awaitTermination(8, TimeUnit.SECONDS);
        int[] all = new int[2];
        Map<String, int[]> kinds = new TreeMap<>();
        counts.forEach(
                (key, count) -> {
                    run.note(key + ": served " + count[1] + " of " + count[0]);
                    System.out.print(key + " " + count[1] + "/" + count[0] + "; ");
                    int[] kind = kinds.computeIfAbsent(key.split(" ")[0], k -> new int[2]);
                    for (int[] sum : List.of(all, kind)) {
                        sum[0] += count[0];
                        sum[1] += count[1];
                    }
                });
        System.out.println("desk servers are sound: " + desks.stream().allMatch(desk -> desk.resetShare == 0));
        double allServed = (double) all[1] / all[0];
        boolean starved = false;
        for (String kind : List.of("booking", "lookup")) {
            double served = (double) kinds.get(kind)[1] / kinds.get(kind)[0];
            run.note(String.format("%s: served %.3f, a quarter of all requests' %.3f is %.3f", kind, served, allServed, allServed / 4));
            starved |= served < allServed / 4;
        }
        return starved;
    }

    /** Returns the kind of the request, and whether it was served. */
    private static String request(Run run, int port, String id, int draw, boolean lasting) {
        String kind = draw < 0 ? "quote" : draw < 25 ? "booking" : draw < 40 ? "lookup" : "plan";
        Client.Result result =
                switch (kind) {
                    case "quote" -> Client.once(port, run, id, "POST", "/quick/" + id,
                            Map.of("X-Model", "m0", "X-Token-Usage", "826,98"), new byte[1700], 12_000);
                    case "booking" -> Client.once(port, run, id, "POST", "/booking/" + id, Map.of(), new byte[300], 2000);
                    case "lookup" -> Client.once(port, run, id, "GET", "/stock/" + id, Map.of(), new byte[0], 2000);
                    default -> Client.once(port, run, id, "POST", "/plan/" + (lasting ? "long/" : "short/") + id,
                            Map.of(), new byte[300], 2000);
                };
        return kind + (result.status() == 200 ? " served" : "");
    }

    private synchronized void count(String outcome, String phase) {
        int[] count = counts.computeIfAbsent(outcome.split(" ")[0] + phase, key -> new int[2]);
        count[0]++;
        count[1] += outcome.endsWith(" served") ? 1 : 0;
    }
}
