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

/** Sets up logback by the settings; no configuration file is read. */
public final class LogOutput {
    private static final String PLAIN_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{20} %msg %fields%n%ex";

    /**
     * Libraries that warn of what is no fault here: a failed call to another process, with a stack
     * trace, though the caller logs an event of its own; and a machine without a hardware address.
     */
    private static final List<String> LOGGERS_WITHOUT_WARNINGS =
            List.of(
                    "reactor.netty.http.client.HttpClientConnect",
                    "io.netty.util.internal.MacAddressUtil");

    private LogOutput() {}

    /** Sends all log lines to the stream, in place of any earlier set-up. */
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

    /** A later set-up stops the appender, which would close the output of the process. */
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

    /** Libraries log much on the lower levels, none of which has an event number. */
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
