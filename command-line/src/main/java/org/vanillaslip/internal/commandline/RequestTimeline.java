package org.vanillaslip.internal.commandline;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.vanillaslip.ResultCode;

/** The logged events of one request, related events, and the cause of its outcome. */
final class RequestTimeline {

    private static final int SERVER_CHOSEN = 560;
    private static final int SEND_FAILED = 561;
    private static final int CALL_ANSWERED = 562;
    private static final int CALL_REFUSED = 563;
    private static final int CALLER_LEFT = 564;
    private static final int STREAM_BROKEN = 566;
    private static final int STANDBY_STARTED = 570;
    private static final int STANDBY_DELIVERED = 571;
    private static final int STANDBY_ENDED = 572;
    private static final int LOOP_PAUSED = 112;
    private static final int SERVER_LEFT = 521;
    private static final int SERVER_PAUSED = 527;
    private static final int STORE_LOST = 528;
    private static final int LEASE_TAKEN = 540;
    private static final int LEASE_LOST = 541;
    private static final int LIMIT_NAMED = 552;
    private static final int LIMIT_ENDED = 553;

    /** Detail of a refusal because all servers of a call limit the requests that they take. */
    private static final String LIMITED_DETAIL = "all servers limit their requests";

    /** Events that can explain the outcome of a request without naming the request. */
    private static final Set<Integer> RELATED_EVENTS =
            Set.of(
                    LOOP_PAUSED,
                    SERVER_LEFT,
                    SERVER_PAUSED,
                    STORE_LOST,
                    LEASE_TAKEN,
                    LEASE_LOST,
                    LIMIT_NAMED,
                    LIMIT_ENDED,
                    // An order was not accepted, or its outcome is unknown.
                    545,
                    // The relays that a host knows have changed.
                    485);

    /**
     * How long before its first event a request can be affected by a related event. No host orders
     * loads for this time after the holder of the lease is lost.
     */
    private static final Duration LOOKBACK = Duration.ofSeconds(6);

    private final String mRequestId;
    private final List<LogLine> mRequestEvents;
    private final List<LogLine> mRelatedEvents;

    private RequestTimeline(
            String requestId, List<LogLine> requestEvents, List<LogLine> relatedEvents) {
        mRequestId = requestId;
        mRequestEvents = requestEvents;
        mRelatedEvents = relatedEvents;
    }

    /** Returns the timeline, or empty if no line names the request. */
    static Optional<RequestTimeline> of(String requestId, List<LogLine> lines) {
        List<LogLine> requestEvents =
                lines.stream()
                        .filter(line -> line.field("request").equals(requestId))
                        .sorted(Comparator.comparing(LogLine::time))
                        .toList();
        if (requestEvents.isEmpty()) {
            return Optional.empty();
        }
        Instant from = requestEvents.get(0).time().minus(LOOKBACK);
        Instant to = requestEvents.get(requestEvents.size() - 1).time();
        Set<String> servers =
                requestEvents.stream()
                        .map(line -> line.field("server"))
                        .filter(server -> !server.isEmpty())
                        .collect(Collectors.toCollection(TreeSet::new));
        Set<String> hosts = requestEvents.stream().map(LogLine::source).collect(Collectors.toSet());
        List<LogLine> relatedEvents =
                lines.stream()
                        .filter(line -> RELATED_EVENTS.contains(line.event()))
                        .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                        .filter(line -> isRelated(line, servers, hosts))
                        .sorted(Comparator.comparing(LogLine::time))
                        .toList();
        return Optional.of(new RequestTimeline(requestId, requestEvents, relatedEvents));
    }

    private static boolean isRelated(LogLine line, Set<String> servers, Set<String> hosts) {
        return switch (line.event()) {
            case SERVER_LEFT, SERVER_PAUSED -> servers.contains(line.field("server"));
            case LEASE_TAKEN, LEASE_LOST, 545 -> true;
            default -> hosts.contains(line.source());
        };
    }

    List<LogLine> requestEvents() {
        return mRequestEvents;
    }

    List<LogLine> relatedEvents() {
        return mRelatedEvents;
    }

    /** Returns a sentence about the outcome of the request and its cause. */
    String cause() {
        LogLine last =
                mRequestEvents.stream()
                        .filter(line -> line.event() != STANDBY_ENDED)
                        .reduce((a, b) -> b)
                        .orElse(mRequestEvents.get(0));
        return switch (last.event()) {
            case CALL_ANSWERED -> answerCause(last);
            case CALL_REFUSED -> refusalCause(last);
            case STREAM_BROKEN ->
                    "The stream broke off after "
                            + last.field("after_ms")
                            + " ms: "
                            + last.field("cause")
                            + standbySuffix()
                            + ".";
            case CALLER_LEFT ->
                    "The caller closed its connection after " + last.field("after_ms") + " ms.";
            default -> "The logs do not contain the end of the request.";
        };
    }

    private String answerCause(LogLine last) {
        String waitedMillis =
                firstEvent(SERVER_CHOSEN).map(line -> line.field("waited_ms")).orElse("unknown");
        return "The request was answered with "
                + last.field("status")
                + " after "
                + last.field("after_ms")
                + " ms; it waited "
                + waitedMillis
                + " ms for a server"
                + failedSendsSuffix()
                + standbySuffix()
                + ".";
    }

    private String standbySuffix() {
        return firstEvent(STANDBY_STARTED)
                .map(
                        line ->
                                "; server "
                                        + line.field("silent_server")
                                        + " was silent for "
                                        + line.field("silence_ms")
                                        + " ms"
                                        + firstEvent(STANDBY_DELIVERED)
                                                .map(
                                                        delivered ->
                                                                " and server "
                                                                        + delivered.field("server")
                                                                        + " went on")
                                                .orElse(""))
                .orElse("");
    }

    private String failedSendsSuffix() {
        long failedSends =
                mRequestEvents.stream().filter(line -> line.event() == SEND_FAILED).count();
        return failedSends == 0 ? "" : " and " + failedSends + " earlier sends failed";
    }

    private String refusalCause(LogLine last) {
        String code = last.field("code");
        String codeDescription =
                Arrays.stream(ResultCode.values())
                        .filter(result -> Integer.toString(result.number()).equals(code))
                        .map(ResultCode::cause)
                        .findFirst()
                        .orElse("Result code " + code + ".");
        return codeDescription + " " + likelyReason(last) + executionSentence(last);
    }

    private String likelyReason(LogLine last) {
        if (last.field("detail").equals(LIMITED_DETAIL)) {
            return "All servers that can run it limit the requests that they take.";
        }
        Optional<LogLine> lastFailedSend =
                mRequestEvents.stream()
                        .filter(line -> line.event() == SEND_FAILED)
                        .reduce((a, b) -> b);
        if (lastFailedSend.isPresent()) {
            return "Server "
                    + lastFailedSend.get().field("server")
                    + " did not answer the last send ("
                    + lastFailedSend.get().field("cause")
                    + ").";
        }
        if (mRelatedEvents.stream().anyMatch(line -> line.event() == LEASE_LOST)) {
            return "No host ordered loads: the lease was lost shortly before.";
        }
        if (mRelatedEvents.stream().anyMatch(line -> line.event() == LEASE_TAKEN)) {
            return "A host acquired the lease shortly before, and orders were delayed.";
        }
        if (mRelatedEvents.stream().anyMatch(line -> line.event() == LOOP_PAUSED)) {
            return "The decision loop of the host stood still shortly before.";
        }
        return firstEvent(SERVER_CHOSEN).isPresent()
                ? "A server was chosen."
                : "No server was chosen for the request.";
    }

    private static String executionSentence(LogLine last) {
        return last.field("not_run").equals("true")
                ? " It has not run."
                : " The host does not know whether it has run.";
    }

    private Optional<LogLine> firstEvent(int event) {
        return mRequestEvents.stream().filter(line -> line.event() == event).findFirst();
    }

    /** Returns the timeline as text: the events of the request, related events, and the cause. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("request " + mRequestId);
        mRequestEvents.forEach(line -> lines.add("  " + format(line)));
        if (!mRelatedEvents.isEmpty()) {
            lines.add("around it");
            mRelatedEvents.forEach(line -> lines.add("  " + format(line)));
        }
        lines.add("cause: " + cause());
        return lines;
    }

    private static String format(LogLine line) {
        String fields =
                line.fields().entrySet().stream()
                        .filter(field -> !field.getKey().equals("request"))
                        .map(field -> field.getKey() + "=" + field.getValue())
                        .collect(Collectors.joining(" "));
        return line.time()
                + " "
                + line.source()
                + " "
                + line.event()
                + " "
                + line.text()
                + " "
                + fields;
    }
}
