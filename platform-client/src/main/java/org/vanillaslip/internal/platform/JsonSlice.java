package org.vanillaslip.internal.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A value in a JSON text of which only the bounds are known. Finding the bounds needs balanced
 * brackets and quotes; whether the content is valid is known once it is parsed. Values beside an
 * unreadable one are therefore found all the same.
 */
public final class JsonSlice {

    private final byte[] mText;
    private final int mStart;
    private final int mEnd;

    private JsonSlice(byte[] text, int start, int end) {
        mText = text;
        mStart = start;
        mEnd = end;
    }

    /** Returns the only value of the text. */
    public static JsonSlice of(byte[] text) {
        Scanner scanner = new Scanner(text, 0, text.length);
        JsonSlice value = scanner.nextValue();
        scanner.expectEnd();
        return value;
    }

    /** Returns the bytes of the value. */
    public byte[] bytes() {
        return Arrays.copyOfRange(mText, mStart, mEnd);
    }

    /** Returns the number of bytes of the value. */
    public int length() {
        return mEnd - mStart;
    }

    /** Returns the values of an array, or throws if this is none or its end is missing. */
    public List<JsonSlice> elements() {
        Scanner scanner = content('[');
        List<JsonSlice> elements = new ArrayList<>();
        while (scanner.hasNext()) {
            elements.add(scanner.nextValue());
            scanner.skipComma();
        }
        return elements;
    }

    /** Returns the fields of an object, or throws if this is none or its end is missing. */
    public Map<String, JsonSlice> fields() {
        Scanner scanner = content('{');
        Map<String, JsonSlice> fields = new LinkedHashMap<>();
        while (scanner.hasNext()) {
            String name = scanner.nextValue().rawText();
            scanner.skipColon();
            fields.put(name, scanner.nextValue());
            scanner.skipComma();
        }
        return fields;
    }

    /** Returns the text of a string without its quotes; escapes stay, wrong bytes are replaced. */
    String rawText() {
        boolean quoted = length() >= 2 && mText[mStart] == '"';
        int margin = quoted ? 1 : 0;
        return new String(mText, mStart + margin, length() - 2 * margin, StandardCharsets.UTF_8);
    }

    private Scanner content(char opening) {
        if (mText[mStart] != opening) {
            throw new IllegalArgumentException(
                    "expected '" + opening + "' but found '" + (char) mText[mStart] + "'");
        }
        return new Scanner(mText, mStart + 1, mEnd - 1);
    }

    /** Finds the values between two positions, one after the other. */
    private static final class Scanner {
        private final byte[] mText;
        private final int mLimit;
        private int mPosition;

        Scanner(byte[] text, int start, int limit) {
            mText = text;
            mPosition = start;
            mLimit = limit;
        }

        boolean hasNext() {
            skipWhitespace();
            return mPosition < mLimit;
        }

        JsonSlice nextValue() {
            if (!hasNext()) {
                throw incomplete();
            }
            int start = mPosition;
            switch (mText[mPosition]) {
                case '"' -> skipString();
                case '{', '[' -> skipContainer();
                default -> skipScalar();
            }
            return new JsonSlice(mText, start, mPosition);
        }

        void skipComma() {
            if (hasNext()) {
                skip(',');
            }
        }

        void skipColon() {
            if (!hasNext()) {
                throw incomplete();
            }
            skip(':');
        }

        void expectEnd() {
            if (hasNext()) {
                throw new IllegalArgumentException("the JSON text goes on after its value");
            }
        }

        private void skip(char expected) {
            if (mText[mPosition] != expected) {
                throw new IllegalArgumentException(
                        "expected '" + expected + "' at byte " + mPosition);
            }
            mPosition++;
        }

        private void skipString() {
            for (mPosition++; mPosition < mLimit; mPosition++) {
                if (mText[mPosition] == '\\') {
                    mPosition++;
                } else if (mText[mPosition] == '"') {
                    mPosition++;
                    return;
                }
            }
            throw incomplete();
        }

        private void skipContainer() {
            int depth = 0;
            while (mPosition < mLimit) {
                byte next = mText[mPosition];
                if (next == '"') {
                    skipString();
                    continue;
                }
                mPosition++;
                if (next == '{' || next == '[') {
                    depth++;
                } else if (next == '}' || next == ']') {
                    depth--;
                }
                if (depth == 0) {
                    return;
                }
            }
            throw incomplete();
        }

        /** Skips a number or a literal, or whatever stands in its place. */
        private void skipScalar() {
            int start = mPosition;
            while (mPosition < mLimit && !isDelimiter(mText[mPosition])) {
                mPosition++;
            }
            if (mPosition == start) {
                throw new IllegalArgumentException("expected a value at byte " + start);
            }
        }

        private void skipWhitespace() {
            while (mPosition < mLimit && isWhitespace(mText[mPosition])) {
                mPosition++;
            }
        }

        private static boolean isDelimiter(byte next) {
            return next == ',' || next == ':' || next == ']' || next == '}' || isWhitespace(next);
        }

        private static boolean isWhitespace(byte next) {
            return next == ' ' || next == '\n' || next == '\r' || next == '\t';
        }

        private static IllegalArgumentException incomplete() {
            return new IllegalArgumentException("the JSON text ends within a value");
        }
    }
}
