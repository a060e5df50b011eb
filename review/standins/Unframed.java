import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Case: a model server whose streams end with their connection crashes while it sends some. */
final class Unframed {
    private static final int EVENTS = 49;
    private static final int MILLIS_BETWEEN_EVENTS = 60;
    private static final int STREAMS = 20;
    /** One of four is the largest share of srv_crash in the site file. */
    private static final int SERVERS = 4;

    private Unframed() {}

    public static void main(String[] arguments) {
        Run.main(arguments[0], Unframed::play);
    }

    private static boolean play(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Manifest.version(1));
        List<Process> engines = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            Process engine =
                    run.process("UnframedEngine", "i-e" + index, "m0", String.valueOf(EVENTS), String.valueOf(MILLIS_BETWEEN_EVENTS));
            String port = new BufferedReader(new InputStreamReader(engine.getInputStream())).readLine();
            engines.add(engine);
            entries.add(
                    "{'service':'engines','addr':'127.0.0.1:" + port + "','zone':'z" + index % 3 + "','version':'1','slots':48,"
                            + "'state':'ready','coldLeftMs':0,'born':" + System.currentTimeMillis()
                            + ",'seq':%d,'stage':'colocated','models':[{'name':'m0','version':1,'adapters':[]}]}");
        }
        heartbeat(store, engines, entries);
        Run.Daemon host = run.daemon("front-z0-1", "z0", store).start();
        host.awaitReady();
        Thread.sleep(2000);
        run.note("the host is ready");
        ExecutorService pool = Executors.newCachedThreadPool();
        List<Future<Client.Result>> streams = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            String id = "quote-" + index;
            String route = index % 2 == 0 ? "/quick/" : "/builder/";
            streams.add(
                    pool.submit(
                            () -> Client.once(host.port, run, id, "POST", route + id,
                                    Map.of("X-Model", "m0", "X-Token-Usage", "826,294"), new byte[1700], 12_000)));
            Thread.sleep(20);
        }
        Thread.sleep(1200);
        if (run.trouble) {
            engines.get(0).destroyForcibly();
            run.note("the model server i-e0 has crashed");
        }
        int complete = 0;
        int broken = 0;
        int looksComplete = 0;
        for (Future<Client.Result> stream : streams) {
            Client.Result result = stream.get();
            int pieces = new String(result.body()).split("data: piece", -1).length - 1;
            run.note("quote " + result.id() + ": status " + result.status() + ", " + result.failure() + ", pieces " + pieces + " of " + EVENTS);
            if (result.status() == 200) {
                complete += pieces == EVENTS ? 1 : 0;
                looksComplete += pieces == EVENTS ? 0 : 1;
            } else {
                broken++;
            }
        }
        String summary = "streams " + STREAMS + ": complete " + complete + ", seen as broken off or refused " + broken
                + ", ended as complete before their last piece " + looksComplete;
        run.note(summary);
        System.out.println(summary);
        pool.shutdownNow();
        return looksComplete > 0;
    }

    /** Renews the entries of the servers that run. */
    private static void heartbeat(Store store, List<Process> engines, List<String> entries) throws Exception {
        Thread thread =
                Server.thread(
                        "heartbeat",
                        () -> {
                            for (long sequence = 0; ; sequence++) {
                                for (int index = 0; index < engines.size(); index++) {
                                    if (engines.get(index).isAlive()) {
                                        store.put("servers", "i-e" + index, Json.object(String.format(entries.get(index), sequence)));
                                    }
                                }
                                Thread.sleep(1200);
                            }
                        });
        while (store.spec("servers", "i-e" + (SERVERS - 1)) == null && thread.isAlive()) {
            Thread.sleep(10);
        }
    }
}
