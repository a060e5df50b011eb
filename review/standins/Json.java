import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text.replace('\'', '"'));
    }

    private void blanks() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    private Object value() {
        blanks();
        char first = text.charAt(at);
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blanks();
            while (text.charAt(at) != '}') {
                blanks();
                String key = string();
                blanks();
                at++; // colon
                map.put(key, value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blanks();
            while (text.charAt(at) != ']') {
                list.add(value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && "+-.0123456789eEtruefalsn".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                if (word.matches("-?[0-9]+")) {
                    return Long.parseLong(word);
                }
                return Double.parseDouble(word);
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n':
                        out.append('\n');
                        break;
                    case 't':
                        out.append('\t');
                        break;
                    case 'r':
                        out.append('\r');
                        break;
                    case 'b':
                        out.append('\b');
                        break;
                    case 'f':
                        out.append('\f');
                        break;
                    case 'u':
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                        break;
                    default:
                        out.append(escaped);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            if (map.isEmpty()) {
                out.append('{');
            }
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(String.valueOf(entry.getKey()), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int index = 0; index < list.size(); index++) {
                if (index > 0) {
                    out.append(',');
                }
                write(list.get(index), out);
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
}
