package org.vanillaslip.internal.runtime;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.concurrent.CountDownLatch;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LifecycleEvent;
import org.vanillaslip.internal.logging.SystemEventLog;
import org.vanillaslip.internal.settings.Settings;

/** Runs a daemon for the life of the process; a termination signal begins the planned stop. */
final class ProcessStarter implements DaemonStarter {

    /** Exit code when the daemon cannot start, for example because an address is taken. */
    private static final int EXIT_START_FAILED = 1;

    @Override
    public int run(Settings settings) {
        EventLog log = new SystemEventLog(System.getLogger(SystemEventLog.LOGGER_NAME));
        log.log(LifecycleEvent.STARTING, field("host", settings.host().name()));
        Daemon daemon = new Daemon(settings, log);
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

    private static void stop(Daemon daemon, EventLog log, CountDownLatch stopped) {
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
