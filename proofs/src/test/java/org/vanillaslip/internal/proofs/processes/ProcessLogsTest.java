package org.vanillaslip.internal.proofs.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against runs of processes that pass although their logs are full of errors. */
class ProcessLogsTest {

    private static final String EVENT =
            "2026-12-06T12:00:00.000Z INFO  org.vanillaslip A call was answered. event=562\n";
    private static final String DROPPED =
            "2026-12-06T12:00:00.000Z ERROR r.c.p.Operators called default onErrorDropped\n"
                    + "java.lang.IllegalStateException: channel not registered\n"
                    + "\tat io.netty.channel.AbstractChannel.eventLoop(AbstractChannel.java:163)\n";

    @TempDir private Path mDirectory;

    @Test
    void errorLinesAndStackTracesAreFaults() throws IOException {
        append("h0.log", EVENT + DROPPED + EVENT);

        assertThat(new ProcessLogs(mDirectory).readNewFaults())
                .hasSize(2)
                .allMatch(fault -> fault.startsWith("h0.log: "));
    }

    @Test
    void errorLinesOfStandInsAreFaults() throws IOException {
        append("engine.log", "2026-12-06 12:00:00,000 ERROR o.v.Engine The address is in use.\n");

        assertThat(new ProcessLogs(mDirectory).readNewFaults()).hasSize(1);
    }

    @Test
    void faultsAreReportedOnce() throws IOException {
        ProcessLogs logs = new ProcessLogs(mDirectory);
        append("h0.log", DROPPED);
        logs.readNewFaults();
        append("h0.log", EVENT);
        assertThat(logs.readNewFaults()).isEmpty();
        append("h0.log", "Exception in thread \"main\" java.lang.OutOfMemoryError\n");

        assertThat(logs.readNewFaults()).hasSize(1);
    }

    @Test
    void anUnfinishedLineIsReadWhenItIsComplete() throws IOException {
        ProcessLogs logs = new ProcessLogs(mDirectory);
        append("h0.log", "2026-12-06T12:00:00.000Z ERR");
        assertThat(logs.readNewFaults()).isEmpty();
        append("h0.log", "OR r.c.p.Operators dropped\n");

        assertThat(logs.readNewFaults()).hasSize(1);
    }

    private void append(String file, String text) throws IOException {
        Files.writeString(
                mDirectory.resolve(file),
                text,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }
}
