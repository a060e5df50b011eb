package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.concurrent.CountDownLatch;
import java.util.function.BiFunction;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.logging.SystemEventLog;
import org.vanillaslip.internal.settings.Settings;

/** Runs a daemon for the life of the process; a termination signal begins the planned stop. */
public final class ProcessStarter implements DaemonStarter {

    /** Exit code when the daemon cannot start, for example because an address is taken. */
    private static final int EXIT_START_FAILED = 1;

    private final BiFunction<Settings, EventLog, RunningDaemon> mDaemonFactory;

    /** Creates a starter of the daemons that the function creates. */
    public ProcessStarter(BiFunction<Settings, EventLog, RunningDaemon> daemonFactory) {
        mDaemonFactory = daemonFactory;
    }

    @Override
    public int run(Settings settings) {
        EventLog log = new SystemEventLog(System.getLogger(SystemEventLog.LOGGER_NAME));
        log.log(LifecycleEvent.STARTING, field("host", settings.host().name()));
        RunningDaemon daemon = mDaemonFactory.apply(settings, log);
        ReloadSignal.handle(() -> log.log(LifecycleEvent.RELOAD_REQUESTED));
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            daemon.start();
        } catch (RuntimeException e) {
            log.log(LifecycleEvent.START_FAILED, field("cause", String.valueOf(e.getMessage())));
            daemon.stop();
            return EXIT_START_FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, log, stopped), "stop"));
        awaitStop(stopped);
        return 0;
    }

    private static void stop(RunningDaemon daemon, EventLog log, CountDownLatch stopped) {
        daemon.stop();
        log.log(LifecycleEvent.STOPPED);
        stopped.countDown();
        // After a signal the virtual machine would exit with 143, which supervisors take as a
        // failure.
        Runtime.getRuntime().halt(0);
    }

    private static void awaitStop(CountDownLatch stopped) {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
