package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.concurrent.CountDownLatch;
import java.util.function.BiFunction;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.logging.SystemEventLog;
import org.vanillaslip.internal.settings.Settings;

/** Runs a daemon until a termination signal starts the graceful shutdown. */
public final class ProcessStarter implements DaemonStarter {

    /** Exit code if the daemon fails to start, for example because an address is in use. */
    private static final int EXIT_START_FAILED = 1;

    private final BiFunction<Settings, EventLog, RunningDaemon> mDaemonFactory;

    /** Creates a starter that uses the given factory for daemons. */
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
        // The virtual machine would exit with code 143 after a signal, which supervisors treat as a
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
