package org.vanillaslip.internal.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Cuts a stream of bytes into server-sent events; an unfinished last event is never returned. */
public final class EventFramer {

    private static final String ID = "id:";

    private static final int MOST_DIGITS = 18;

    /** An event this long is not one. */
    private static final int MOST_BYTES = 1 << 20;

    private final ByteArrayOutputStream mOpen = new ByteArrayOutputStream();
    private boolean mLineEmpty = true;

    /** Returns the events that the chunk completes. */
    public List<StreamEvent> accept(byte[] chunk) {
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < chunk.length; index++) {
            byte current = chunk[index];
            if (current == '\n') {
                if (mLineEmpty) {
                    mOpen.write(chunk, start, index + 1 - start);
                    start = index + 1;
                    complete(events);
                }
                mLineEmpty = true;
            } else if (current != '\r') {
                mLineEmpty = false;
            }
        }
        if (mOpen.size() + chunk.length - start > MOST_BYTES) {
            throw new IllegalStateException("An event has more than " + MOST_BYTES + " bytes.");
        }
        mOpen.write(chunk, start, chunk.length - start);
        return events;
    }

    /** Returns the number of bytes of an event that has not ended. */
    public int incompleteEventSize() {
        return mOpen.size();
    }

    /** Returns the bytes of an event that has not ended. */
    public byte[] incompleteEvent() {
        return mOpen.toByteArray();
    }

    private void complete(List<StreamEvent> events) {
        byte[] bytes = mOpen.toByteArray();
        mOpen.reset();
        events.add(new StreamEvent(id(bytes), bytes));
    }

    private static OptionalLong id(byte[] event) {
        int line = 0;
        while (line < event.length) {
            int end = line;
            while (end < event.length && event[end] != '\n') {
                end++;
            }
            if (event[line] == 'i' && startsWithId(event, line)) {
                return number(new String(event, line, end - line, StandardCharsets.ISO_8859_1));
            }
            line = end + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean startsWithId(byte[] event, int line) {
        return event.length - line >= ID.length()
                && event[line + 1] == 'd'
                && event[line + 2] == ':';
    }

    private static OptionalLong number(String line) {
        String text = line.substring(ID.length()).strip();
        boolean number =
                !text.isEmpty()
                        && text.length() <= MOST_DIGITS
                        && text.chars().allMatch(letter -> letter >= '0' && letter <= '9');
        return number ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
