package org.vanillaslip.internal.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a missing or wrong cause for the failures in {@code docs/OPERATIONS.md}. */
class ExplainTest {

    private static final String DATE_AND_MINUTE = "2026-09-13T14:31:";

    private final OperatorFixture mOperator = new OperatorFixture();

    @TempDir private Path mDirectory;

    @Test
    void explainsARefusalByTheLostLeaseOfAnotherHost() throws IOException {
        String refusingHostLog =
                formatEvent("01.000Z", "The daemon starts.", "event=100 host=h1")
                        + formatEvent(
                                "09.500Z",
                                "A call was refused or failed.",
                                "event=563 request=a1 code=3003 detail=m7 not_run=true"
                                        + " retry_after_ms=2000 after_ms=3");
        String leaseHolderLog =
                formatEvent("01.000Z", "The daemon starts.", "event=100 host=h2")
                        + formatEvent(
                                "08.000Z", "This host no longer orders loads.", "event=541 term=3");

        assertThat(explain("a1", refusingHostLog, leaseHolderLog)).isZero();
        assertThat(mOperator.mOutput)
                .contains("h1 563")
                .contains("h2 541")
                .contains("No host ordered loads: the lease was lost shortly before.")
                .contains("It has not run.");
    }

    @Test
    void explainsARefusalByTheLimitsOfAllServers() throws IOException {
        String log =
                formatEvent("01.000Z", "The daemon starts.", "event=100 host=h1")
                        + formatEvent(
                                "02.000Z",
                                "A backend server limits the requests that it takes from all"
                                        + " hosts.",
                                "event=552 server=i-1 per_second=2.2 source=answer")
                        + formatEvent(
                                "03.000Z",
                                "A call was refused or failed.",
                                "event=563 request=a1 code=2003"
                                        + " detail=\"all servers limit their requests\""
                                        + " not_run=true retry_after_ms=2000 after_ms=30");

        assertThat(explain("a1", log)).isZero();
        assertThat(mOperator.mOutput)
                .contains("h1 552")
                .contains("All servers that can run it limit the requests that they take.");
    }

    @Test
    void namesTheServerWhoseAnswerIsUnknown() throws IOException {
        String log =
                formatEvent("01.000Z", "The daemon starts.", "event=100 host=h1")
                        + formatEvent(
                                "02.000Z",
                                "A backend server was chosen for a call.",
                                "event=560 request=b2 server=i-1 send=1 waited_ms=0")
                        + formatEvent(
                                "02.100Z",
                                "A backend server did not answer a call as it should.",
                                "event=561 request=b2 server=i-1 send=1 outcome=UNKNOWN"
                                        + " cause=\"SocketException: Connection reset\"")
                        + formatEvent(
                                "02.101Z",
                                "A call was refused or failed.",
                                "event=563 request=b2 code=3006 not_run=false after_ms=101");

        assertThat(explain("b2", log)).isZero();
        assertThat(mOperator.mOutput)
                .contains(
                        "Server i-1 did not answer the last send (SocketException: Connection"
                                + " reset). The host does not know whether it has run.");
    }

    @Test
    void namesTheCauseOfABrokenStreamInAJsonLog() throws IOException {
        String log =
                "{\"@timestamp\":\"2026-09-13T14:31:02.000Z\",\"message\":\"A backend server was"
                        + " chosen for a call.\",\"event\":560,\"request\":\"c3\","
                        + "\"server\":\"i-1\",\"waited_ms\":1726}\n"
                        + "{\"@timestamp\":\"2026-09-13T14:31:04.000Z\",\"message\":\"A stream"
                        + " ended before it was complete.\",\"event\":566,\"request\":\"c3\","
                        + "\"server\":\"i-1\",\"after_ms\":2120,\"cause\":\"closed\"}\n";

        assertThat(explain("c3", log)).isZero();
        assertThat(mOperator.mOutput).contains("The stream broke off after 2120 ms: closed.");
    }

    /** Guards against a pause of a server that does not show in the explanation of its stream. */
    @Test
    void namesTheSilentServerOfAStreamThatWentOnElsewhere() throws IOException {
        String log =
                formatEvent(
                                "01.000Z",
                                "A backend server was chosen for a call.",
                                "event=560 request=e5 server=i-1 waited_ms=3")
                        + formatEvent(
                                "02.000Z",
                                "A call is also sent to another backend server, because its own is"
                                        + " silent.",
                                "event=570 request=e5 silent_server=i-1 silence_ms=1000 server=i-2")
                        + formatEvent(
                                "02.100Z",
                                "The other backend server delivered first; the silent one is"
                                        + " cancelled.",
                                "event=571 request=e5 silent_server=i-1 server=i-2")
                        + formatEvent(
                                "03.000Z",
                                "A call was answered.",
                                "event=562 request=e5 server=i-2 status=200 after_ms=2000");

        assertThat(explain("e5", log)).isZero();
        assertThat(mOperator.mOutput)
                .contains(
                        "it waited 3 ms for a server; server i-1 was silent for 1000 ms and server"
                                + " i-2 went on.");
    }

    /** Guards against a run that is cancelled at the end and hides the outcome of the request. */
    @Test
    void namesTheOutcomeBeforeTheEndOfAStandbyRun() throws IOException {
        String log =
                formatEvent(
                                "02.000Z",
                                "A caller closed its connection before the response was complete.",
                                "event=564 request=f6 server=i-1 after_ms=12")
                        + formatEvent(
                                "02.000Z",
                                "One of two runs of a call ended without an effect.",
                                "event=572 request=f6 silent_server=i-1 server=i-2");

        assertThat(explain("f6", log)).isZero();
        assertThat(mOperator.mOutput).contains("The caller closed its connection after 12 ms.");
    }

    /** Guards against an empty output, which would look like a request without a fault. */
    @Test
    void failsForAnUnknownRequest() throws IOException {
        assertThat(
                        explain(
                                "none",
                                formatEvent("01.000Z", "The daemon starts.", "event=100 host=h1")))
                .isEqualTo(2);
        assertThat(mOperator.mErrors).contains("Request none");
    }

    @Test
    void skipsLinesWithoutAnEvent() throws IOException {
        String log =
                "java.net.SocketException: reset\n\tat a.B.c(B.java:1)\n{\"half\":\n"
                        + formatEvent(
                                "02.101Z",
                                "A caller closed its connection before the answer ended.",
                                "event=564 request=d4 server= after_ms=12");

        assertThat(explain("d4", log)).isZero();
        assertThat(mOperator.mOutput).contains("The caller closed its connection after 12 ms.");
    }

    private int explain(String request, String... logs) throws IOException {
        String[] arguments = new String[logs.length + 2];
        arguments[0] = "explain";
        arguments[1] = request;
        for (int log = 0; log < logs.length; log++) {
            Path file = mDirectory.resolve("host-" + log + ".log");
            Files.writeString(file, logs[log]);
            arguments[log + 2] = file.toString();
        }
        return mOperator.run(arguments);
    }

    private static String formatEvent(String time, String text, String fields) {
        return DATE_AND_MINUTE + time + " INFO  org.vanillaslip " + text + " " + fields + "\n";
    }
}
