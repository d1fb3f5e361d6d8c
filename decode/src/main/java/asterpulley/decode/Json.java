package asterpulley.decode;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON values into plain maps and lists, writes them back, and gives typed access to their
 * fields with a clear message for malformed input.
 */
public final class Json {
    /** Thrown for input that does not have the expected form; the message is shown to operators. */
    public static final class MalformedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public MalformedException(String message) {
            super(message);
        }
    }

    private Json() {}

    /** Reads the value that starts at the parser's current token. */
    public static Object read(JsonParser parser) throws IOException {
        JsonToken token = requireToken(parser.currentToken());
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (requireToken(parser.nextToken()) != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, read(parser));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (requireToken(parser.nextToken()) != JsonToken.END_ARRAY) {
                    list.add(read(parser));
                }
                return list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return parser.getNumberValue();
            }
            case VALUE_STRING -> {
                return parser.getText();
            }
            default -> {
                return token == JsonToken.VALUE_NULL ? null : (Object) parser.getBooleanValue();
            }
        }
    }

    /** Casts a value to an object; the description names it in the message if it is none. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Object value, String description) {
        if (value instanceof Map) {
            return (Map<String, Object>) value;
        }
        throw new MalformedException(description + " is not an object");
    }

    /** Returns a list that must be present. */
    @SuppressWarnings("unchecked")
    public static List<Object> list(Map<String, Object> from, String name) {
        if (from.get(name) instanceof List<?> list) {
            return (List<Object>) list;
        }
        throw new MalformedException("field " + name + " is not a list");
    }

    /** Returns a number that must be present, truncated to a whole one. */
    public static long integer(Map<String, Object> from, String name) {
        if (from.get(name) instanceof Number n) {
            return n.longValue();
        }
        throw new MalformedException("field " + name + " is not a number");
    }

    /** Returns a string that must be present. */
    public static String text(Map<String, Object> from, String name) {
        if (from.get(name) instanceof String s) {
            return s;
        }
        throw new MalformedException("field " + name + " is not a text");
    }

    /** Returns a number, or the default value if the field is missing. */
    public static double number(Map<String, Object> from, String name, double defaultValue) {
        Object value = from.get(name);
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        if (value != null) {
            throw new MalformedException("field " + name + " is not a number");
        }
        return defaultValue;
    }

    /** Returns a string, or null if the field is missing. */
    public static String textOrNull(Map<String, Object> from, String name) {
        return from.get(name) == null ? null : text(from, name);
    }

    /** Returns true only if the field is present and true. */
    public static boolean flag(Map<String, Object> from, String name) {
        return Boolean.TRUE.equals(from.get(name));
    }

    /** Converts a field in milliseconds to seconds; 0 if it is missing. */
    public static double secondsFromMillis(Map<String, Object> from, String name) {
        return number(from, name, 0) / 1000;
    }

    /** Returns an object, or an empty map if the field is missing. */
    public static Map<String, Object> objectOrEmpty(Map<String, Object> from, String name) {
        return from.get(name) == null ? Map.of() : object(from.get(name), name);
    }

    /** Writes maps, lists, strings, numbers and booleans on one line. */
    public static String text(Object value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            write(value, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(Object value, JsonGenerator out) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> e : map.entrySet()) {
                out.writeFieldName(String.valueOf(e.getKey()));
                write(e.getValue(), out);
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object o : list) {
                write(o, out);
            }
            out.writeEndArray();
        } else if (value instanceof Integer || value instanceof Long) {
            out.writeNumber(((Number) value).longValue());
        } else if (value instanceof Number n) {
            out.writeNumber(n.doubleValue());
        } else if (value instanceof Boolean b) {
            out.writeBoolean(b);
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(String.valueOf(value));
        }
    }

    private static JsonToken requireToken(JsonToken token) {
        if (token == null) {
            throw new MalformedException("the input ends inside a value");
        }
        return token;
    }
}
