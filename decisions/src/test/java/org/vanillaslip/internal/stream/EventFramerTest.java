package org.vanillaslip.internal.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against incomplete events that reach callers. */
class EventFramerTest {

    private static final String TWO_EVENTS =
            "id: 7\ndata: one\n\nx-weight-versions: 3\nid: 8\r\ndata: two\r\n\r\n";

    @Test
    void splitsAtBlankLinesForAnyChunkSize() {
        byte[] bytes = TWO_EVENTS.getBytes(StandardCharsets.UTF_8);
        for (int size = 1; size <= bytes.length; size++) {
            EventFramer framer = new EventFramer();
            List<StreamEvent> events = new ArrayList<>();
            for (int start = 0; start < bytes.length; start += size) {
                byte[] chunk = new byte[Math.min(size, bytes.length - start)];
                System.arraycopy(bytes, start, chunk, 0, chunk.length);
                events.addAll(framer.accept(chunk));
            }
            assertThat(events)
                    .extracting(StreamEvent::id)
                    .containsExactly(OptionalLong.of(7), OptionalLong.of(8));
            assertThat(joined(events)).isEqualTo(TWO_EVENTS);
            assertThat(framer.incompleteEventSize()).isZero();
        }
    }

    @Test
    void anIncompleteEventIsNotReturned() {
        EventFramer framer = new EventFramer();

        assertThat(framer.accept("id: 1\ndata: x\n".getBytes(StandardCharsets.UTF_8))).isEmpty();
        assertThat(framer.incompleteEventSize()).isPositive();
    }

    @Test
    void anEventWithoutAnIdHasNoId() {
        EventFramer framer = new EventFramer();

        assertThat(framer.accept("data: x\n\n".getBytes(StandardCharsets.UTF_8)))
                .singleElement()
                .matches(event -> event.id().isEmpty());
    }

    private static String joined(List<StreamEvent> events) {
        StringBuilder text = new StringBuilder();
        events.forEach(event -> text.append(new String(event.bytes(), StandardCharsets.UTF_8)));
        return text.toString();
    }
}
