import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays lists, numbers longs or doubles. */
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
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> m) {
            StringBuilder s = new StringBuilder("{");
            m.forEach((k, v) -> s.append(s.length() > 1 ? "," : "").append(write(k)).append(':').append(write(v)));
            return s.append('}').toString();
        }
        if (value instanceof List<?> l) {
            return "[" + String.join(",", l.stream().map(Json::write).toList()) + "]";
        }
        if (value instanceof String s) {
            return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
        }
        return String.valueOf(value);
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> m = new LinkedHashMap<>();
            at++;
            skip();
            while (text.charAt(at) != '}') {
                String key = (String) value();
                skip();
                at++;
                m.put(key, value());
                skip();
                at += text.charAt(at) == ',' ? 1 : 0;
                skip();
            }
            at++;
            return m;
        }
        if (c == '[') {
            List<Object> l = new ArrayList<>();
            at++;
            skip();
            while (text.charAt(at) != ']') {
                l.add(value());
                skip();
                at += text.charAt(at) == ',' ? 1 : 0;
                skip();
            }
            at++;
            return l;
        }
        if (c == '"') {
            StringBuilder s = new StringBuilder();
            for (at++; text.charAt(at) != '"'; at++) {
                if (text.charAt(at) == '\\') {
                    at++;
                    if (text.charAt(at) == 'u') {
                        s.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                        at += 4;
                    } else {
                        s.append("bfnrt".indexOf(text.charAt(at)) < 0
                                ? text.charAt(at)
                                : "\b\f\n\r\t".charAt("bfnrt".indexOf(text.charAt(at))));
                    }
                } else {
                    s.append(text.charAt(at));
                }
            }
            at++;
            return s.toString();
        }
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
