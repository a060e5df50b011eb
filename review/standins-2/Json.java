import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {

    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.mAt != text.length()) {
            throw new IllegalArgumentException("text behind the value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns a map of the names and values, which alternate. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < namesAndValues.length; index += 2) {
            map.put((String) namesAndValues[index], namesAndValues[index + 1]);
        }
        return map;
    }

    /** Text that is written as it is, without quotes. */
    record Verbatim(String text) {
        @Override
        public String toString() {
            return text;
        }
    }

    /**
     * Returns the text in UTF-8. Characters from U+F700 to U+F7FF stand for single bytes, as a
     * writer with another encoding sends them.
     */
    static byte[] bytes(String text) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        text.codePoints()
                .forEach(
                        code -> {
                            if (code >= 0xf700 && code <= 0xf7ff) {
                                out.write(code & 0xff);
                            } else {
                                out.writeBytes(
                                        Character.toString(code).getBytes(StandardCharsets.UTF_8));
                            }
                        });
        return out.toByteArray();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String comma = "";
            for (Object item : list) {
                out.append(comma);
                write(item, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"');
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        space();
        char c = mText.charAt(mAt);
        switch (c) {
            case '{':
                return map();
            case '[':
                return list();
            case '"':
                return string();
            case 't':
                mAt += 4;
                return true;
            case 'f':
                mAt += 5;
                return false;
            case 'n':
                mAt += 4;
                return null;
            default:
                return number();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        mAt++;
        space();
        while (mText.charAt(mAt) != '}') {
            String name = string();
            space();
            mAt++;
            map.put(name, value());
            space();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                space();
            }
        }
        mAt++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        mAt++;
        space();
        while (mText.charAt(mAt) != ']') {
            list.add(value());
            space();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                space();
            }
        }
        mAt++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = mText.charAt(mAt++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                    mAt += 4;
                }
                default -> out.append(escaped);
            }
        }
        mAt++;
        return out.toString();
    }

    private Object number() {
        int start = mAt;
        while (mAt < mText.length() && "+-.eE0123456789".indexOf(mText.charAt(mAt)) >= 0) {
            mAt++;
        }
        String text = mText.substring(start, mAt);
        if (text.matches("-?[0-9]+")) {
            return Long.valueOf(text);
        }
        return Double.valueOf(text);
    }

    private void space() {
        while (mAt < mText.length() && Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
    }
}
