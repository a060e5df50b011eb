import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: an entry of another writer stands in the kind "servers", and all processes are killed and
 * started again.
 */
final class OddEntry {
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long BEFORE_MILLIS = 6000;
    private static final long AFTER_MILLIS = 12_000;
    private static final long RESTART_MILLIS = 1000;

    private OddEntry() {}

    public static void main(String[] arguments) {
        Run.main(arguments[0], OddEntry::play);
    }

    private static boolean play(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Manifest.version(1));
        EngineServer engine = new EngineServer("i-7f3a91c2", "engines", "z0", store, run);
        engine.models.add("m0");
        engine.events = 5;
        engine.start();
        for (int index = 0; index < 3; index++) {
            new PlainServer("i-d0495c35" + index, "desk", "z" + index % 2, store, run).start();
        }
        List<Run.Daemon> hosts = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            hosts.add(run.daemon("front-z" + index + "-1", "z" + index, store).start());
        }
        for (Run.Daemon host : hosts) {
            host.awaitReady();
        }
        Thread.sleep(2000);
        run.note("the hosts are ready");
        if (run.trouble) {
            store.put("servers", "i-02d9e6b4", Json.object(
                    "{'service':'desk','addr':'127.0.0.1:9','zone':'z0','version':'1','slots':6,'state':'ready',"
                            + "'coldLeftMs':1e30,'born':1767410074099,'seq':1}"));
            run.note("another writer has written servers/i-02d9e6b4 with coldLeftMs 1e30");
        }
        double before = servedShare(run, hosts, "before", BEFORE_MILLIS);
        for (Run.Daemon host : hosts) {
            host.signal("KILL");
            host.process.waitFor();
        }
        run.note("all hosts are killed");
        Thread.sleep(RESTART_MILLIS);
        for (Run.Daemon host : hosts) {
            host.start();
        }
        run.note("all hosts are started again");
        for (Run.Daemon host : hosts) {
            host.awaitReady();
        }
        run.note("all hosts say that they are ready");
        Thread.sleep(RECOVERY_MILLIS);
        double after = servedShare(run, hosts, "after", AFTER_MILLIS);
        run.note(String.format("served before the kill %.3f, later than recoveryS after it %.3f", before, after));
        System.out.printf("served before %.3f, after %.3f%n", before, after);
        return before >= 0.25 && after < 0.25;
    }

    /** Returns the share of requests that are served. */
    private static double servedShare(Run run, List<Run.Daemon> hosts, String phase, long millis)
            throws InterruptedException {
        ExecutorService pool = Executors.newCachedThreadPool();
        AtomicInteger served = new AtomicInteger();
        int sent = 0;
        for (long end = run.millis() + millis; run.millis() < end; sent++) {
            String id = phase + "-" + sent;
            int kind = sent % 3;
            int port = hosts.get(sent % hosts.size()).port;
            pool.submit(
                    () -> {
                        Client.Result result =
                                kind == 0
                                        ? Client.once(port, run, id, "POST", "/booking/" + id, Map.of(), new byte[300], 2000)
                                        : kind == 1
                                                ? Client.once(port, run, id, "GET", "/stock/" + id, Map.of(), new byte[0], 2000)
                                                : Client.once(port, run, id, "POST", "/quick/" + id,
                                                        Map.of("X-Model", "m0", "X-Token-Usage", "826,98"), new byte[1700], 12_000);
                        served.addAndGet(result.status() == 200 ? 1 : 0);
                    });
            Thread.sleep(80);
        }
        pool.shutdown();
        pool.awaitTermination(14, TimeUnit.SECONDS);
        return (double) served.get() / sent;
    }
}
