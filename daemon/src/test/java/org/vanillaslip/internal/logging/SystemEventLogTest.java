package org.vanillaslip.internal.logging;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.logging.LogField.field;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.vanillaslip.internal.settings.LogFormat;
import org.vanillaslip.internal.settings.LogSettings;

/** Guards against log lines without event number or fields, and against forged lines. */
class SystemEventLogTest {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    @AfterEach
    void restoreOutput() {
        LogOutput.configure(
                new LogSettings(LogFormat.PLAIN, System.Logger.Level.WARNING), System.out);
    }

    @Test
    void writesNumberTextAndFieldsAsJson() throws Exception {
        EventLog log = eventLog(LogFormat.JSON, System.Logger.Level.INFO);

        log.log(LifecycleEvent.LISTENING, field("address", "127.0.0.1:8080"), field("count", 2));

        JsonNode line = new ObjectMapper().readTree(text());
        assertThat(line.get("event").asInt()).isEqualTo(101);
        assertThat(line.get("message").asText()).isEqualTo(LifecycleEvent.LISTENING.text());
        assertThat(line.get("address").asText()).isEqualTo("127.0.0.1:8080");
        assertThat(line.get("count").isNumber()).isTrue();
        assertThat(line.get("level").asText()).isEqualTo("INFO");
    }

    @Test
    void writesNumberTextAndFieldsAsPlainText() {
        EventLog log = eventLog(LogFormat.PLAIN, System.Logger.Level.INFO);

        log.log(LifecycleEvent.LISTENING, field("address", "127.0.0.1:8080"));

        assertThat(text())
                .contains("INFO")
                .endsWith("An address accepts connections. event=101 address=127.0.0.1:8080\n");
    }

    @Test
    void keepsBracesAndReplacesLineBreaksInValues() {
        EventLog log = eventLog(LogFormat.PLAIN, System.Logger.Level.INFO);

        log.log(LifecycleEvent.STARTING, field("path", "/{0}/{}\nforged \\\" event=1"));

        assertThat(text()).hasLineCount(1).contains("path=\"/{0}/{}?forged \\\\\\\" event=1\"");
    }

    @Test
    void omitsEventsBelowTheLevel() {
        EventLog log = eventLog(LogFormat.PLAIN, System.Logger.Level.WARNING);

        log.log(LifecycleEvent.STOPPED);
        log.log(LifecycleEvent.STOP_INCOMPLETE);

        assertThat(text()).hasLineCount(1).contains("event=107");
    }

    /** Guards against a stack trace for each reset connection, which overloads slow hosts. */
    @Test
    void omitsLibraryWarningsThatEventsCover() {
        eventLog(LogFormat.PLAIN, System.Logger.Level.INFO);

        LoggerFactory.getLogger("reactor.netty.http.client.HttpClientConnect")
                .warn("The connection observed an error", new IOException("Connection reset"));
        LoggerFactory.getLogger("io.netty.util.internal.MacAddressUtil").warn("No address");
        LoggerFactory.getLogger("io.netty.channel").warn("A warning that no event covers");

        assertThat(text()).hasLineCount(1).contains("A warning that no event covers");
    }

    private EventLog eventLog(LogFormat format, System.Logger.Level level) {
        LogOutput.configure(new LogSettings(format, level), mOutput);
        return new SystemEventLog(System.getLogger(SystemEventLog.LOGGER_NAME));
    }

    private String text() {
        return mOutput.toString(StandardCharsets.UTF_8);
    }
}
