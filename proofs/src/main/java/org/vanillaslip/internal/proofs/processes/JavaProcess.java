package org.vanillaslip.internal.proofs.processes;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that runs a Java program and is stopped on close. */
public final class JavaProcess implements AutoCloseable {

    private static final long STOP_TIMEOUT_SECONDS = 15;

    private final String mName;
    private final Path mLogFile;
    private final Process mProcess;

    private JavaProcess(String name, Path logFile, Process process) {
        mName = name;
        mLogFile = logFile;
        mProcess = process;
    }

    /** Starts a main class with the given heap limit and appends its output to a log file. */
    public static JavaProcess start(
            String name,
            String classPath,
            String mainClass,
            String heapLimit,
            Path directory,
            List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + heapLimit);
        command.add("-XX:+UseSerialGC");
        command.add("-XX:+ExitOnOutOfMemoryError");
        // Same as in deploy/system.toml; C2 compilation does not pay off in short-lived processes.
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-Xss256k");
        command.add("-cp");
        command.add(classPath);
        command.add(mainClass);
        command.addAll(arguments);
        Path logFile = directory.resolve(name + ".log");
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                            .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
                            .start();
            return new JavaProcess(name, logFile, process);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the name that the process was started with. */
    public String name() {
        return mName;
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the CPU time that the process has used, or zero if it is unavailable. */
    public Duration processorTime() {
        return mProcess.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the content of the log file. */
    public String output() {
        try {
            return Files.readString(mLogFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Suspends the process with SIGSTOP, which it cannot catch. */
    public void suspend() {
        signal("STOP");
    }

    /** Resumes a suspended process. */
    public void resume() {
        signal("CONT");
    }

    /** Sends SIGHUP, on which a daemon reloads its settings. */
    public void requestReload() {
        signal("HUP");
    }

    /** Kills the process and waits for it to exit. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /** Sends SIGTERM without waiting for the process to exit. */
    public void requestStop() {
        mProcess.destroy();
    }

    /** Sends SIGTERM, kills the process if it exceeds the timeout, and returns the exit code. */
    public int stop() {
        mProcess.destroy();
        return awaitExit();
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            signal("CONT");
            stop();
        }
    }

    private int awaitExit() {
        try {
            if (!mProcess.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                mProcess.destroyForcibly().waitFor();
            }
            return mProcess.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(
                    "interrupted while waiting for the exit of " + mName, e);
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while sending a signal to " + mName, e);
        }
    }
}
