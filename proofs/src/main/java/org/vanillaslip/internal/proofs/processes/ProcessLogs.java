package org.vanillaslip.internal.proofs.processes;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The log files of processes in a directory and below, searched for faults that no case expects.
 */
public final class ProcessLogs {

    /** A line of level ERROR, with its time in one word or two. */
    private static final Pattern ERROR_LINE = Pattern.compile("^\\S+( \\S+)? ERROR .*");

    private static final Pattern STACK_TRACE_LINE =
            Pattern.compile("^\\s+at \\S+\\(.*\\).*|^Exception in thread .*");

    private static final String SUFFIX = ".log";
    private static final int MAX_FAULTS_PER_READ = 20;
    private static final int CHUNK_BYTES = 4 * 1024 * 1024;

    private final Path mDirectory;
    private final Map<Path, Long> mReadBytes = new HashMap<>();

    /** Creates the logs of a directory, none of which has been read. */
    public ProcessLogs(Path directory) {
        mDirectory = directory;
    }

    /** Deletes the log files of earlier runs. */
    public void deleteAll() {
        files().forEach(file -> file.toFile().delete());
    }

    /**
     * Returns the lines of level ERROR and of stack traces that were written since the last call,
     * the first ones if there are many.
     */
    public synchronized List<String> readNewFaults() {
        List<String> faults = new ArrayList<>();
        for (Path file : files()) {
            try {
                readNewFaults(file, faults);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return faults.subList(0, Math.min(MAX_FAULTS_PER_READ, faults.size()));
    }

    private List<Path> files() {
        if (!Files.isDirectory(mDirectory)) {
            return List.of();
        }
        try (Stream<Path> files = Files.walk(mDirectory)) {
            return files.filter(file -> file.toString().endsWith(SUFFIX)).sorted().toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void readNewFaults(Path file, List<String> faults) throws IOException {
        try (RandomAccessFile log = new RandomAccessFile(file.toFile(), "r")) {
            byte[] chunk = new byte[CHUNK_BYTES];
            long position = mReadBytes.getOrDefault(file, 0L);
            while (true) {
                log.seek(position);
                int length = completeLines(chunk, log.read(chunk));
                if (length == 0) {
                    mReadBytes.put(file, position);
                    return;
                }
                position += length;
                new String(chunk, 0, length, StandardCharsets.UTF_8)
                        .lines()
                        .filter(ProcessLogs::isFault)
                        .limit(MAX_FAULTS_PER_READ)
                        .forEach(line -> faults.add(file.getFileName() + ": " + line));
            }
        }
    }

    /** Returns the number of bytes up to the last line end; the rest is read next time. */
    private static int completeLines(byte[] bytes, int length) {
        for (int end = length; end > 0; end--) {
            if (bytes[end - 1] == '\n') {
                return end;
            }
        }
        return 0;
    }

    static boolean isFault(String line) {
        return ERROR_LINE.matcher(line).matches() || STACK_TRACE_LINE.matcher(line).matches();
    }
}
