package org.vanillaslip.internal.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.vanillaslip.ModelName;
import org.vanillaslip.RequestClass;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.serving.CallKind;

/**
 * Records the metrics of this host. Each label has few values: no workspace, model or host names,
 * of which a deployment has tens of thousands.
 */
public final class DaemonMetrics {
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        // 95 % of requests must get their first token within 0.46 s, so this has its own bucket.
        Duration.ofMillis(460),
        Duration.ofSeconds(1),
        Duration.ofMillis(2500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        Duration.ofSeconds(60)
    };

    /** Messages between hosts contain amounts in micro-tokens. */
    private static final double MICRO_TOKENS_PER_TOKEN = 1e6;

    private final PrometheusMeterRegistry mRegistry;
    private final ServerCountMetrics mServerCounts;
    private final ServerSpeedMetrics mServerSpeeds;

    /** Creates the metrics on the given registry. */
    public DaemonMetrics(PrometheusMeterRegistry registry) {
        mRegistry = registry;
        mServerCounts = new ServerCountMetrics(registry);
        mServerSpeeds = new ServerSpeedMetrics(registry);
    }

    /**
     * Counts a finished request.
     *
     * @param requestClass empty if the request was refused before its route was known
     * @param code empty for a complete answer
     */
    public void requestFinished(Optional<RequestClass> requestClass, Optional<ResultCode> code) {
        String number = code.map(ResultCode::number).map(String::valueOf).orElse("0");
        count(DaemonMetric.REQUESTS, 1, label(requestClass), number);
    }

    /** Counts a request whose caller closed the connection before the answer was complete. */
    public void callerDisconnected(Optional<RequestClass> requestClass) {
        count(DaemonMetric.REQUESTS, 1, label(requestClass), "caller_left");
    }

    /** Records the time from acceptance to the first token. */
    public void firstToken(RequestClass requestClass, Duration time) {
        time(DaemonMetric.TIME_TO_FIRST_TOKEN, time, label(requestClass));
    }

    /** Records how long a request waited before it was sent or refused. */
    public void queueWait(RequestClass requestClass, Duration time) {
        time(DaemonMetric.QUEUE_WAIT, time, label(requestClass));
    }

    /** Records a cold start of a model or adapter. */
    public void coldStart(ModelName model, Duration time) {
        time(DaemonMetric.COLD_STARTS, time, model.adapter().isPresent() ? "adapter" : "model");
    }

    /**
     * Counts a call to the platform.
     *
     * @param kind read, list, create, update, delete or watch
     * @param failure empty if the call succeeded
     */
    public void platformCall(String kind, Optional<PlatformFailure> failure) {
        String result = failure.map(DaemonMetrics::label).orElse("ok");
        count(DaemonMetric.PLATFORM_CALLS, 1, kind, result);
    }

    /** Counts a message between hosts by the name of its body. */
    public void peerMessage(PeerDirection direction, String body) {
        count(DaemonMetric.PEER_MESSAGES, 1, label(direction), body.toLowerCase(Locale.ROOT));
    }

    /** Counts the bytes of a message between hosts by the name of its content. */
    public void peerBytes(PeerDirection direction, String body, int bytes) {
        count(DaemonMetric.PEER_BYTES, bytes, label(direction), body.toLowerCase(Locale.ROOT));
    }

    /** Counts tokens that this host has lent to another host. */
    public void tokensGranted(QuotaLimitKind limit, long microTokens) {
        count(
                DaemonMetric.QUOTA_TOKENS_GRANTED,
                microTokens / MICRO_TOKENS_PER_TOKEN,
                label(limit));
    }

    /** Counts tokens that this host has received from another host. */
    public void tokensBorrowed(QuotaLimitKind limit, long microTokens) {
        count(
                DaemonMetric.QUOTA_TOKENS_BORROWED,
                microTokens / MICRO_TOKENS_PER_TOKEN,
                label(limit));
    }

    /** Counts a limit of a backend server that was named or changed, or its end. */
    public void serverLimitChanged(boolean limited) {
        count(DaemonMetric.SERVER_LIMITS, 1, limited ? "named" : "ended");
    }

    /** Counts a start of a backend server that said in an answer that it leaves. */
    public void serverSaidLeaving() {
        count(DaemonMetric.SERVERS_LEAVING, 1, "answer");
    }

    /** Counts a pause that a backend server has asked for. */
    public void serverPauseAsked() {
        count(DaemonMetric.SERVER_PAUSES, 1, "answer");
    }

    /**
     * Counts a request for a permit to send to a backend server with a limit.
     *
     * @param result granted, refused or unanswered
     */
    public void sendPermitRequested(String result) {
        count(DaemonMetric.SEND_PERMITS, 1, result);
    }

    /**
     * Counts an answer of a backend server that was passed through.
     *
     * @param firstEventNanos time until the first event; 0 for an answer without events
     */
    public void relayAnswered(CallKind kind, int statusClass, long firstEventNanos) {
        count(DaemonMetric.RELAY_ANSWERS, 1, label(kind), statusClass + "xx");
        if (firstEventNanos > 0) {
            time(DaemonMetric.RELAY_FIRST_EVENT, Duration.ofNanos(firstEventNanos), label(kind));
        }
    }

    /** Counts a pass-through call that got no answer from a backend server. */
    public void relayRefused(ResultCode code) {
        count(DaemonMetric.RELAY_REFUSALS, 1, String.valueOf(code.number()));
    }

    /** Returns the gauges of the numbers of backend servers. */
    public ServerCountMetrics serverCounts() {
        return mServerCounts;
    }

    /** Returns the gauges of the measured speeds of backend servers. */
    public ServerSpeedMetrics serverSpeeds() {
        return mServerSpeeds;
    }

    /** Counts a pass-through answer that broke off. */
    public void relayBroken(CallKind kind) {
        count(DaemonMetric.RELAY_BROKEN, 1, label(kind));
    }

    /**
     * Counts a usage window that is closed.
     *
     * @param result settled or left_out
     */
    public void usageWindow(String result) {
        count(DaemonMetric.USAGE_WINDOWS, 1, result);
    }

    /** Counts a call with a usage report by its answer. */
    public void usageReportSent(String answer) {
        count(DaemonMetric.USAGE_REPORTS, 1, answer.toLowerCase(Locale.ROOT));
    }

    /** Counts calls that came too late for the report of their window. */
    public void usageCallsLate(long calls) {
        count(DaemonMetric.USAGE_CALLS_LATE, calls, "host");
    }

    /**
     * Counts a call that waited while calls were ranked.
     *
     * @param result served, lifted, returned, out_of_reach or displaced
     */
    public void rankedCall(String result) {
        count(DaemonMetric.RANKED_CALLS, 1, result);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return mRegistry.scrape();
    }

    private void count(DaemonMetric metric, double amount, String... values) {
        Counter.builder(metric.meterName())
                .description(metric.description())
                .tags(tags(metric, values))
                .register(mRegistry)
                .increment(amount);
    }

    private void time(DaemonMetric metric, Duration time, String... values) {
        Timer.builder(metric.meterName())
                .description(metric.description())
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .tags(tags(metric, values))
                .register(mRegistry)
                .record(time);
    }

    private static List<Tag> tags(DaemonMetric metric, String... values) {
        List<Tag> tags = new ArrayList<>();
        for (int index = 0; index < values.length; index++) {
            tags.add(Tag.of(metric.labels().get(index), values[index]));
        }
        return tags;
    }

    private static String label(Optional<RequestClass> requestClass) {
        return requestClass.map(DaemonMetrics::label).orElse("none");
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
