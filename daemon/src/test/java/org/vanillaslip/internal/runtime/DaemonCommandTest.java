package org.vanillaslip.internal.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillaslip.internal.settings.Settings;
import org.vanillaslip.internal.settings.SettingsReader;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Guards against a daemon that starts with invalid settings or options. */
class DaemonCommandTest {
    private static final String VALID =
            """
            [host]
            name = a1
            failure_domain = a
            gateway_address = 127.0.0.1:0
            peer_address = 127.0.0.1:0
            [platform]
            address = 127.0.0.1:7000
            """;

    @TempDir Path mDirectory;
    private final List<Settings> mStarted = new ArrayList<>();
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();

    @Test
    void startsWithValidSettings() throws IOException {
        assertThat(run("--config", writeSettings(VALID))).isEqualTo(7);

        assertThat(mStarted).extracting(settings -> settings.host().name()).containsExactly("a1");
    }

    /** Guards against a reload that ends a process which has not read its settings yet. */
    @Test
    void aReloadIsHandledBeforeTheDaemonStarts() throws IOException {
        Signal reload = new Signal("HUP");
        SignalHandler before = Signal.handle(reload, SignalHandler.SIG_DFL);
        List<SignalHandler> handlers = new ArrayList<>();
        try {
            DaemonStarter starter =
                    settings -> {
                        handlers.add(Signal.handle(reload, SignalHandler.SIG_DFL));
                        return 0;
                    };
            new DaemonCommand(
                            new SettingsReader(),
                            starter,
                            new PrintStream(mOutput),
                            new PrintStream(mErrors))
                    .run("--config", writeSettings(VALID));
        } finally {
            Signal.handle(reload, before);
        }

        assertThat(handlers).hasSize(1).doesNotContain(SignalHandler.SIG_DFL);
    }

    @Test
    void checksSettingsWithoutStarting() throws IOException {
        assertThat(run("--check-settings", "--config", writeSettings(VALID))).isZero();

        assertThat(mStarted).isEmpty();
        assertThat(text(mOutput)).contains("The settings file is valid.");
    }

    @Test
    void printsAllFaultsAndStartsNothing() throws IOException {
        String invalid = VALID.replace("name = a1", "name = A").replace(":7000", "");

        assertThat(run("--config", writeSettings(invalid))).isEqualTo(2);

        assertThat(mStarted).isEmpty();
        assertThat(text(mErrors))
                .contains("6004 ", "[host] name = 'A'", "[platform] address", "event=109");
    }

    @Test
    void rejectsInvalidOptions() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("--no-such-option")).isEqualTo(2);
        assertThat(mStarted).isEmpty();
    }

    @Test
    void printsHelp() {
        assertThat(run("--help")).isZero();
        assertThat(text(mOutput)).contains("--config", "--check-settings");
    }

    private int run(String... arguments) {
        return new DaemonCommand(
                        new SettingsReader(),
                        settings -> {
                            mStarted.add(settings);
                            return 7;
                        },
                        new PrintStream(mOutput, true, StandardCharsets.UTF_8),
                        new PrintStream(mErrors, true, StandardCharsets.UTF_8))
                .run(arguments);
    }

    private String writeSettings(String text) throws IOException {
        return Files.writeString(mDirectory.resolve("settings.ini"), text).toString();
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
