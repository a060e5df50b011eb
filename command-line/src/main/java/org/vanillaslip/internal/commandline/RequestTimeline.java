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

/** What logs tell about one request: its way, what happened around it, and the cause of its end. */
final class RequestTimeline {

    private static final int SERVER_CHOSEN = 560;
    private static final int SEND_FAILED = 561;
    private static final int CALL_ANSWERED = 562;
    private static final int CALL_REFUSED = 563;
    private static final int CALLER_DISCONNECTED = 564;
    private static final int STREAM_BROKEN = 566;
    private static final int LOOP_PAUSED = 112;
    private static final int SERVER_LEFT = 521;
    private static final int SERVER_PAUSED = 527;
    private static final int STORE_LOST = 528;
    private static final int LEASE_TAKEN = 540;
    private static final int LEASE_LOST = 541;

    /** Events that explain a request though they do not name it. */
    private static final Set<Integer> RELATED_EVENTS =
            Set.of(
                    LOOP_PAUSED,
                    SERVER_LEFT,
                    SERVER_PAUSED,
                    STORE_LOST,
                    LEASE_TAKEN,
                    LEASE_LOST,
                    545,
                    485);

    /** The time without orders after the loss of a lease holder. */
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

    /** Returns the story, or empty when no line names the request. */
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

    /** Returns why the request ended as it did. */
    String cause() {
        LogLine last = mRequestEvents.get(mRequestEvents.size() - 1);
        return switch (last.event()) {
            case CALL_ANSWERED -> answerCause(last);
            case CALL_REFUSED -> refusalCause(last);
            case STREAM_BROKEN ->
                    "The stream broke off after "
                            + last.field("after_ms")
                            + " ms: "
                            + last.field("cause")
                            + ".";
            case CALLER_DISCONNECTED ->
                    "The caller closed its connection after " + last.field("after_ms") + " ms.";
            default -> "The logs end before the request does.";
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
                + ".";
    }

    private String failedSendsSuffix() {
        long failedSends =
                mRequestEvents.stream().filter(line -> line.event() == SEND_FAILED).count();
        return failedSends == 0 ? "" : " and " + failedSends + " sends failed before";
    }

    private String refusalCause(LogLine last) {
        String code = last.field("code");
        String codeDescription =
                Arrays.stream(ResultCode.values())
                        .filter(result -> Integer.toString(result.number()).equals(code))
                        .map(ResultCode::cause)
                        .findFirst()
                        .orElse("Result code " + code + ".");
        return codeDescription + " " + likelyReason() + executionSentence(last);
    }

    private String likelyReason() {
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
            return "A host took the lease on orders shortly before, and orders had to wait.";
        }
        if (mRelatedEvents.stream().anyMatch(line -> line.event() == LOOP_PAUSED)) {
            return "The host stood still shortly before.";
        }
        return firstEvent(SERVER_CHOSEN).isPresent()
                ? "A server was chosen."
                : "No server was chosen for it.";
    }

    private static String executionSentence(LogLine last) {
        return last.field("not_run").equals("true")
                ? " It has not run."
                : " Whether it has run is not known to the host.";
    }

    private Optional<LogLine> firstEvent(int event) {
        return mRequestEvents.stream().filter(line -> line.event() == event).findFirst();
    }

    /** Returns the story as lines of text, in order of time. */
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
