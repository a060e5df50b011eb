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

/** A Java program that this process started and that it stops again. */
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

    /** Starts a main class with the given heap limit; its output goes to a file. */
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
        // As deploy/system.toml starts the daemon; the optimizer does not pay in short lives.
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

    /** Returns the name given at the start. */
    public String name() {
        return mName;
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the processor time that the process has used. */
    public Duration processorTime() {
        return mProcess.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns everything the process has printed. */
    public String output() {
        try {
            return Files.readString(mLogFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Stops the execution of the process without its knowledge. */
    public void suspend() {
        signal("STOP");
    }

    /** Continues a frozen process. */
    public void resume() {
        signal("CONT");
    }

    /** Tells the process that its settings have changed. */
    public void requestReload() {
        signal("HUP");
    }

    /** Ends the process at once. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /** Asks the process to stop and returns at once. */
    public void requestStop() {
        mProcess.destroy();
    }

    /** Asks the process to stop and returns its exit code, or kills it after a bound. */
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
            throw new IllegalStateException("interrupted while stopping " + mName, e);
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
            throw new IllegalStateException("interrupted while signalling " + mName, e);
        }
    }
}
