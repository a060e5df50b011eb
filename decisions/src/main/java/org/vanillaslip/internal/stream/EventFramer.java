package org.vanillaslip.internal.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Splits a stream of bytes into server-sent events and returns only complete events. */
public final class EventFramer {

    private static final String ID_FIELD = "id:";

    private static final int MAX_ID_DIGITS = 18;

    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mIncompleteEvent = new ByteArrayOutputStream();
    private boolean mLineEmpty = true;

    /** Adds a chunk and returns the events that it completes. */
    public List<StreamEvent> accept(byte[] chunk) {
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < chunk.length; index++) {
            byte current = chunk[index];
            if (current == '\n') {
                if (mLineEmpty) {
                    mIncompleteEvent.write(chunk, start, index + 1 - start);
                    start = index + 1;
                    completeEvent(events);
                }
                mLineEmpty = true;
            } else if (current != '\r') {
                mLineEmpty = false;
            }
        }
        if (mIncompleteEvent.size() + chunk.length - start > MAX_EVENT_BYTES) {
            throw new IllegalStateException(
                    "A server-sent event is larger than " + MAX_EVENT_BYTES + " bytes");
        }
        mIncompleteEvent.write(chunk, start, chunk.length - start);
        return events;
    }

    /** Returns the number of bytes of the incomplete event. */
    public int incompleteEventSize() {
        return mIncompleteEvent.size();
    }

    /** Returns the bytes of the incomplete event. */
    public byte[] incompleteEvent() {
        return mIncompleteEvent.toByteArray();
    }

    private void completeEvent(List<StreamEvent> events) {
        byte[] bytes = mIncompleteEvent.toByteArray();
        mIncompleteEvent.reset();
        events.add(new StreamEvent(parseId(bytes), bytes));
    }

    private static OptionalLong parseId(byte[] event) {
        int lineStart = 0;
        while (lineStart < event.length) {
            int end = lineStart;
            while (end < event.length && event[end] != '\n') {
                end++;
            }
            if (event[lineStart] == 'i' && startsWithId(event, lineStart)) {
                return parseNumber(
                        new String(event, lineStart, end - lineStart, StandardCharsets.ISO_8859_1));
            }
            lineStart = end + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean startsWithId(byte[] event, int lineStart) {
        return event.length - lineStart >= ID_FIELD.length()
                && event[lineStart + 1] == 'd'
                && event[lineStart + 2] == ':';
    }

    private static OptionalLong parseNumber(String line) {
        String text = line.substring(ID_FIELD.length()).strip();
        boolean numeric =
                !text.isEmpty()
                        && text.length() <= MAX_ID_DIGITS
                        && text.chars().allMatch(character -> character >= '0' && character <= '9');
        return numeric ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
