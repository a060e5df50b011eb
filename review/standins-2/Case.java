import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One run of a case: its record, its folder for temporary files, and its processes. */
abstract class Case {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Path mRoot;
    final boolean mTrouble;
    final List<Host> mHosts = new ArrayList<>();
    private final Path mDirectory;
    private final PrintWriter mRecord;
    private final long mStartNanos = System.nanoTime();

    Case(String[] arguments) throws IOException {
        mRoot = Path.of(arguments[0]).toAbsolutePath();
        Path record = Path.of(arguments[1], "record.txt");
        mTrouble = !"0".equals(System.getenv("TROUBLE"));
        mDirectory = Files.createTempDirectory("vanillaslip-review");
        mRecord = new PrintWriter(Files.newBufferedWriter(record), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endHosts));
        record("the run begins, trouble=%s", mTrouble);
    }

    /** Runs the case and returns its exit code. */
    abstract int run() throws Exception;

    /** Runs the case, ends all processes and exits. */
    final void runAndExit() {
        int code = COULD_NOT_RUN;
        try {
            code = run();
        } catch (Exception fault) {
            record("the case could not run: %s", fault);
            fault.printStackTrace();
        } finally {
            endAll();
        }
        record("exit %d", code);
        System.exit(code);
    }

    private void endAll() {
        endHosts();
        deleteTemporaryFiles();
    }

    private void endHosts() {
        for (Host host : mHosts) {
            try {
                host.end();
            } catch (IOException fault) {
                record("%s could not be ended: %s", host.mName, fault);
            }
        }
    }

    private void deleteTemporaryFiles() {
        try (var files = Files.walk(mDirectory)) {
            for (Path file : files.sorted((one, other) -> other.compareTo(one)).toList()) {
                Files.delete(file);
            }
        } catch (IOException fault) {
            record("the temporary folder remains: %s", fault.getMessage());
        }
    }

    final Host addHost(String name, String zone, String store) throws IOException {
        return addHost(name, zone, store, 1000);
    }

    final Host addHost(String name, String zone, String store, double linkMegabits)
            throws IOException {
        Host host = new Host(mRoot, mDirectory, name, zone, "127.0.0.1", store, linkMegabits);
        mHosts.add(host);
        return host;
    }

    final synchronized void record(String format, Object... values) {
        mRecord.printf(Locale.ROOT, "%8.3f s  ", seconds());
        mRecord.println(String.format(Locale.ROOT, format, values));
    }

    final double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }
}
