package org.vanillaslip.internal.peer;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.metrics.PeerDirection;
import org.vanillaslip.messages.Envelope;

/** Counts the messages and bytes exchanged with other hosts, and logs the bytes sent. */
final class LinkTraffic {

    /** Limits the length of a log line. */
    private static final int MAX_LOGGED_BODIES = 4;

    private final DaemonMetrics mMetrics;
    private final EventLog mLog;
    private final Map<String, LongAdder> mSentBytesByBody = new ConcurrentHashMap<>();
    private final LongAdder mReceivedBytes = new LongAdder();

    LinkTraffic(DaemonMetrics metrics, EventLog log) {
        mMetrics = metrics;
        mLog = log;
    }

    /** Counts a message; a forwarded message counts as what it contains. */
    void record(PeerDirection direction, Envelope message) {
        String body =
                message.hasRelayed()
                        ? message.getRelayed().getPayload().getBodyCase().name()
                        : message.getBodyCase().name();
        int bytes = message.getSerializedSize();
        mMetrics.peerMessage(direction, message.getBodyCase().name());
        mMetrics.peerBytes(direction, body, bytes);
        if (direction == PeerDirection.SENT) {
            mSentBytesByBody.computeIfAbsent(body, name -> new LongAdder()).add(bytes);
        } else {
            mReceivedBytes.add(bytes);
        }
    }

    /** Logs the bytes since the last call, by kind of message for those that take the most. */
    void logAndReset() {
        Map<String, Long> sent =
                mSentBytesByBody.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        entry -> entry.getValue().sumThenReset()));
        mLog.log(
                PeerEvent.LINK_TRAFFIC,
                field("sent_bytes", sent.values().stream().mapToLong(Long::longValue).sum()),
                field("received_bytes", mReceivedBytes.sumThenReset()),
                field("largest", largest(sent)));
    }

    private static String largest(Map<String, Long> sentBytes) {
        return sentBytes.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_LOGGED_BODIES)
                .map(entry -> entry.getKey() + ":" + entry.getValue())
                .collect(Collectors.joining(","));
    }
}
