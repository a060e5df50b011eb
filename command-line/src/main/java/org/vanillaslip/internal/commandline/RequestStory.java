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
final class RequestStory {

    private static final int SERVER_CHOSEN = 560;
    private static final int SEND_FAILED = 561;
    private static final int CALL_ANSWERED = 562;
    private static final int CALL_REFUSED = 563;
    private static final int CALLER_LEFT = 564;
    private static final int STREAM_BROKEN = 566;
    private static final int LOOP_PAUSED = 112;
    private static final int SERVER_LEFT = 521;
    private static final int SERVER_PAUSED = 527;
    private static final int STORE_LOST = 528;
    private static final int LEASE_TAKEN = 540;
    private static final int LEASE_LOST = 541;

    /** Events that explain a request though they do not name it. */
    private static final Set<Integer> AROUND =
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
    private static final Duration BEFORE = Duration.ofSeconds(6);

    private final String mRequest;
    private final List<LogLine> mWay;
    private final List<LogLine> mAround;

    private RequestStory(String request, List<LogLine> way, List<LogLine> around) {
        mRequest = request;
        mWay = way;
        mAround = around;
    }

    /** Returns the story, or empty when no line names the request. */
    static Optional<RequestStory> of(String request, List<LogLine> lines) {
        List<LogLine> way =
                lines.stream()
                        .filter(line -> line.field("request").equals(request))
                        .sorted(Comparator.comparing(LogLine::time))
                        .toList();
        if (way.isEmpty()) {
            return Optional.empty();
        }
        Instant from = way.get(0).time().minus(BEFORE);
        Instant to = way.get(way.size() - 1).time();
        Set<String> servers =
                way.stream()
                        .map(line -> line.field("server"))
                        .filter(server -> !server.isEmpty())
                        .collect(Collectors.toCollection(TreeSet::new));
        Set<String> hosts = way.stream().map(LogLine::source).collect(Collectors.toSet());
        List<LogLine> around =
                lines.stream()
                        .filter(line -> AROUND.contains(line.event()))
                        .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                        .filter(line -> matters(line, servers, hosts))
                        .sorted(Comparator.comparing(LogLine::time))
                        .toList();
        return Optional.of(new RequestStory(request, way, around));
    }

    private static boolean matters(LogLine line, Set<String> servers, Set<String> hosts) {
        return switch (line.event()) {
            case SERVER_LEFT, SERVER_PAUSED -> servers.contains(line.field("server"));
            case LEASE_TAKEN, LEASE_LOST, 545 -> true;
            default -> hosts.contains(line.source());
        };
    }

    List<LogLine> way() {
        return mWay;
    }

    List<LogLine> around() {
        return mAround;
    }

    /** Returns why the request ended as it did. */
    String cause() {
        LogLine last = mWay.get(mWay.size() - 1);
        return switch (last.event()) {
            case CALL_ANSWERED -> answered(last);
            case CALL_REFUSED -> refused(last);
            case STREAM_BROKEN ->
                    "The stream broke off after "
                            + last.field("after_ms")
                            + " ms: "
                            + last.field("cause")
                            + ".";
            case CALLER_LEFT ->
                    "The caller closed its connection after " + last.field("after_ms") + " ms.";
            default -> "The logs end before the request does.";
        };
    }

    private String answered(LogLine last) {
        String waited = first(SERVER_CHOSEN).map(line -> line.field("waited_ms")).orElse("unknown");
        return "The request was answered with "
                + last.field("status")
                + " after "
                + last.field("after_ms")
                + " ms; it waited "
                + waited
                + " ms for a server"
                + resumed()
                + ".";
    }

    private String resumed() {
        long failed = mWay.stream().filter(line -> line.event() == SEND_FAILED).count();
        return failed == 0 ? "" : " and " + failed + " sends failed before";
    }

    private String refused(LogLine last) {
        String code = last.field("code");
        String known =
                Arrays.stream(ResultCode.values())
                        .filter(result -> Integer.toString(result.number()).equals(code))
                        .map(ResultCode::cause)
                        .findFirst()
                        .orElse("Result code " + code + ".");
        return known + " " + reason() + notRun(last);
    }

    private String reason() {
        Optional<LogLine> failure =
                mWay.stream().filter(line -> line.event() == SEND_FAILED).reduce((a, b) -> b);
        if (failure.isPresent()) {
            return "Server "
                    + failure.get().field("server")
                    + " did not answer the last send ("
                    + failure.get().field("cause")
                    + ").";
        }
        if (mAround.stream().anyMatch(line -> line.event() == LEASE_LOST)) {
            return "No host ordered loads: the lease was lost shortly before.";
        }
        if (mAround.stream().anyMatch(line -> line.event() == LEASE_TAKEN)) {
            return "A host took the lease on orders shortly before, and orders had to wait.";
        }
        if (mAround.stream().anyMatch(line -> line.event() == LOOP_PAUSED)) {
            return "The host stood still shortly before.";
        }
        return first(SERVER_CHOSEN).isPresent()
                ? "A server was chosen."
                : "No server was chosen for it.";
    }

    private static String notRun(LogLine last) {
        return last.field("not_run").equals("true")
                ? " It has not run."
                : " Whether it has run is not known to the host.";
    }

    private Optional<LogLine> first(int event) {
        return mWay.stream().filter(line -> line.event() == event).findFirst();
    }

    /** Returns the story as lines of text, in order of time. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("request " + mRequest);
        mWay.forEach(line -> lines.add("  " + text(line)));
        if (!mAround.isEmpty()) {
            lines.add("around it");
            mAround.forEach(line -> lines.add("  " + text(line)));
        }
        lines.add("cause: " + cause());
        return lines;
    }

    private static String text(LogLine line) {
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
