package asterpulley.files;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of an operator's TOML file. Values are read by key, type and range. If a value is
 * wrong, the problem is recorded and the fallback is returned, so that reading goes on to the end
 * of the file. Nothing that an operator writes makes a method of this class throw.
 */
public final class TomlSection {
    private final TomlDocument document;
    private final TomlTable table;
    private final List<String> path;
    private final TomlPosition position;
    private final Set<String> requestedKeys = new TreeSet<>();

    TomlSection(TomlDocument document, TomlTable table, List<String> path, TomlPosition position) {
        this.document = document;
        this.table = table;
        this.path = path;
        this.position = position;
        document.register(this);
    }

    /** Whether the key is there; from then on it counts as known. */
    public boolean has(String key) {
        requestedKeys.add(key);
        return table.contains(List.of(key));
    }

    /** Reports each of these keys that is missing. */
    public TomlSection require(String... keys) {
        for (String key : keys) {
            if (!has(key)) {
                document.addProblem(position, fullPath(key), "is missing");
            }
        }
        return this;
    }

    /** A string. */
    public String text(String key, String fallback) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        return value instanceof String s ? s : reportProblem(key, "is not a text", fallback);
    }

    /** A string that must be one of {@code choices}. */
    public String oneOf(String key, String fallback, String... choices) {
        String value = text(key, fallback);
        boolean known = value == null || Arrays.asList(choices).contains(value);
        return known
                ? value
                : reportProblem(
                        key, "'" + value + "' is none of " + String.join(", ", choices), fallback);
    }

    /** A number from {@code min} to {@code max}. */
    public double number(String key, double fallback, double min, double max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Number boxed)) {
            return reportProblem(key, "is not a number", fallback);
        }
        double number = boxed.doubleValue();
        return number >= min && number <= max
                ? number
                : reportProblem(
                        key,
                        formatNumber(number)
                                + " is not between "
                                + formatNumber(min)
                                + " and "
                                + formatNumber(max),
                        fallback);
    }

    /** A whole number from {@code min} to {@code max}. */
    public int integer(String key, int fallback, int min, int max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Long number)) {
            return reportProblem(key, "is not a whole number", fallback);
        }
        return number >= min && number <= max
                ? number.intValue()
                : reportProblem(key, number + " is not between " + min + " and " + max, fallback);
    }

    /** A boolean. */
    public boolean flag(String key, boolean fallback) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        return value instanceof Boolean b
                ? b
                : reportProblem(key, "is neither true nor false", fallback);
    }

    /** A list of strings; empty if the key is missing. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        if (value(key) instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String s) {
                    texts.add(s);
                } else {
                    document.addProblem(
                            array.inputPositionOf(i),
                            fullPath(key) + "[" + i + "]",
                            "is not a text");
                }
            }
        } else if (has(key)) {
            reportProblem(key, "is not a list of texts", texts);
        }
        return texts;
    }

    /** A table within this one; an empty one if the key is missing. */
    public TomlSection section(String key) {
        Object value = value(key);
        if (value instanceof TomlTable child) {
            return new TomlSection(document, child, childPath(key), positionOf(key));
        }
        if (value != null) {
            reportProblem(key, "is not a table", null);
        }
        return new TomlSection(document, org.tomlj.Toml.parse(""), childPath(key), position);
    }

    /** A list of tables, written as {@code [[key]]}; empty if the key is missing. */
    public List<TomlSection> sections(String key) {
        List<TomlSection> sections = new ArrayList<>();
        Object value = value(key);
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof TomlTable child) {
                    sections.add(
                            new TomlSection(
                                    document,
                                    child,
                                    childPath(key + "[" + i + "]"),
                                    array.inputPositionOf(i)));
                } else {
                    document.addProblem(
                            array.inputPositionOf(i),
                            fullPath(key) + "[" + i + "]",
                            "is not a table");
                }
            }
        } else if (value != null) {
            reportProblem(key, "is not a list of tables", null);
        }
        return sections;
    }

    /** All keys of the table, for tables whose keys are names that the operator chose. */
    public List<String> keys() {
        requestedKeys.addAll(table.keySet());
        return List.copyOf(table.keySet());
    }

    /** Records a problem that only the caller can detect, and returns {@code fallback}. */
    public <T> T reportProblem(String key, String message, T fallback) {
        document.addProblem(positionOf(key), fullPath(key), message);
        return fallback;
    }

    /** The path of this table in the file; empty for the root. */
    public String path() {
        return String.join(".", path);
    }

    /** Passes the line and the message of each key that nothing has asked for. */
    void reportUnknownKeys(BiConsumer<Integer, String> report) {
        for (String key : table.keySet()) {
            if (!requestedKeys.contains(key)) {
                TomlPosition keyPosition = positionOf(key);
                int line = keyPosition == null ? 1 : keyPosition.line();
                report.accept(
                        line,
                        document.formatProblem(
                                line, fullPath(key), "is not a known key" + suggestion(key)));
            }
        }
    }

    /** The closest known key if one is close enough, else all of them. */
    private String suggestion(String key) {
        String closest = null;
        int bestDistance = Math.max(2, key.length() / 3) + 1;
        for (String known : requestedKeys) {
            int distance = editDistance(key, known);
            if (distance < bestDistance) {
                bestDistance = distance;
                closest = known;
            }
        }
        return closest != null
                ? "; did you mean " + closest + "?"
                : "; known keys are " + String.join(", ", requestedKeys);
    }

    /** The Levenshtein distance of two keys. */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }

    private Object value(String key) {
        requestedKeys.add(key);
        return table.get(List.of(key));
    }

    /** The position of a key in the file, or that of the table if it is missing. */
    private TomlPosition positionOf(String key) {
        TomlPosition keyPosition =
                table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : null;
        return keyPosition == null ? position : keyPosition;
    }

    private String fullPath(String key) {
        return path.isEmpty() ? key : path() + "." + key;
    }

    private List<String> childPath(String key) {
        List<String> child = new ArrayList<>(path);
        child.add(key);
        return child;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
