package org.vanillaslip.internal.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;
import org.vanillaslip.internal.settings.LogFormat;
import org.vanillaslip.internal.settings.LogSettings;

/** Configures Logback from the settings, without a configuration file. */
public final class LogOutput {
    private static final String PLAIN_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{20} %msg %fields%n%ex";

    /**
     * Loggers of libraries whose warnings do not indicate a fault: a failed call to another
     * process, logged with a stack trace although the caller logs its own event, and a machine
     * without a hardware address.
     */
    private static final List<String> LOGGERS_WITHOUT_WARNINGS =
            List.of(
                    "reactor.netty.http.client.HttpClientConnect",
                    "io.netty.util.internal.MacAddressUtil");

    private LogOutput() {}

    /** Sends all log lines to the stream, replacing any earlier configuration. */
    public static void configure(LogSettings settings, OutputStream stream) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder(settings.format(), context));
        appender.setOutputStream(withoutClosing(stream));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(libraryLevel(settings.level()));
        context.getLogger(SystemEventLog.LOGGER_NAME).setLevel(level(settings.level()));
        if (libraryLevel(settings.level()) == Level.WARN) {
            LOGGERS_WITHOUT_WARNINGS.forEach(name -> context.getLogger(name).setLevel(Level.ERROR));
        }
    }

    /** Ignores close: reconfiguring stops the appender, which would close the process output. */
    private static OutputStream withoutClosing(OutputStream stream) {
        return new FilterOutputStream(stream) {
            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                out.write(bytes, offset, length);
            }

            @Override
            public void close() throws IOException {
                flush();
            }
        };
    }

    private static Encoder<ILoggingEvent> encoder(LogFormat format, LoggerContext context) {
        EncoderBase<ILoggingEvent> encoder =
                format == LogFormat.JSON ? new LogstashEncoder() : plainEncoder();
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static PatternLayoutEncoder plainEncoder() {
        PatternLayoutEncoder encoder = new FieldPatternEncoder();
        encoder.setPattern(PLAIN_PATTERN);
        return encoder;
    }

    /**
     * Limits libraries to warnings, since they log many lines without an event number below that.
     */
    private static Level libraryLevel(System.Logger.Level level) {
        return level.getSeverity() < System.Logger.Level.WARNING.getSeverity()
                ? Level.WARN
                : level(level);
    }

    private static Level level(System.Logger.Level level) {
        return switch (level) {
            case ALL, TRACE -> Level.TRACE;
            case DEBUG -> Level.DEBUG;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARN;
            case ERROR -> Level.ERROR;
            case OFF -> Level.OFF;
        };
    }
}
