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
 * One table of an operator file. Every key is asked for by name, type and range; a fault is noted
 * and the value that stands for what is missing is given instead, so that the reading goes on to
 * the end of the file. It must never throw for what an operator wrote.
 */
public final class TomlSection {
    private final TomlDocument sheet;
    private final TomlTable table;
    private final List<String> path;
    private final TomlPosition at;
    private final Set<String> asked = new TreeSet<>();

    TomlSection(TomlDocument sheet, TomlTable table, List<String> path, TomlPosition at) {
        this.sheet = sheet;
        this.table = table;
        this.path = path;
        this.at = at;
        sheet.enter(this);
    }

    public boolean has(String key) {
        asked.add(key);
        return table.contains(List.of(key));
    }

    /** Tells that this key must be there. */
    public TomlSection require(String... keys) {
        for (String key : keys) {
            if (!has(key)) {
                sheet.fault(at, said(key), "is missing");
            }
        }
        return this;
    }

    public String text(String key, String missing) {
        Object value = value(key);
        if (value == null) {
            return missing;
        }
        return value instanceof String s ? s : reportProblem(key, "is not a text", missing);
    }

    /** A text that must be one of these. */
    public String oneOf(String key, String missing, String... choices) {
        String value = text(key, missing);
        boolean known = value == null || Arrays.asList(choices).contains(value);
        return known
                ? value
                : reportProblem(
                        key, "'" + value + "' is none of " + String.join(", ", choices), missing);
    }

    public double number(String key, double missing, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return missing;
        }
        if (!(value instanceof Number n)) {
            return reportProblem(key, "is not a number", missing);
        }
        double d = n.doubleValue();
        return d >= least && d <= most
                ? d
                : reportProblem(
                        key,
                        plain(d) + " is not between " + plain(least) + " and " + plain(most),
                        missing);
    }

    public int integer(String key, int missing, int least, int most) {
        Object value = value(key);
        if (value == null) {
            return missing;
        }
        if (!(value instanceof Long n)) {
            return reportProblem(key, "is not a whole number", missing);
        }
        return n >= least && n <= most
                ? n.intValue()
                : reportProblem(key, n + " is not between " + least + " and " + most, missing);
    }

    public boolean flag(String key, boolean missing) {
        Object value = value(key);
        if (value == null) {
            return missing;
        }
        return value instanceof Boolean b
                ? b
                : reportProblem(key, "is neither true nor false", missing);
    }

    /** A list of texts; empty where there is none. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        if (value(key) instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String s) {
                    texts.add(s);
                } else {
                    sheet.fault(
                            array.inputPositionOf(i), said(key) + "[" + i + "]", "is not a text");
                }
            }
        } else if (has(key)) {
            reportProblem(key, "is not a list of texts", texts);
        }
        return texts;
    }

    /** A table within this one; an empty one where there is none. */
    public TomlSection section(String key) {
        Object value = value(key);
        if (value instanceof TomlTable t) {
            return new TomlSection(sheet, t, down(key), where(key));
        }
        if (value != null) {
            reportProblem(key, "is not a table", null);
        }
        return new TomlSection(sheet, org.tomlj.Toml.parse(""), down(key), at);
    }

    /** A list of tables, as [[key]] writes it; empty where there is none. */
    public List<TomlSection> sections(String key) {
        List<TomlSection> parts = new ArrayList<>();
        Object value = value(key);
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof TomlTable t) {
                    parts.add(
                            new TomlSection(
                                    sheet, t, down(key + "[" + i + "]"), array.inputPositionOf(i)));
                } else {
                    sheet.fault(
                            array.inputPositionOf(i), said(key) + "[" + i + "]", "is not a table");
                }
            }
        } else if (value != null) {
            reportProblem(key, "is not a list of tables", null);
        }
        return parts;
    }

    /** The keys as they stand, for tables whose keys are names that the operator chose. */
    public List<String> keys() {
        asked.addAll(table.keySet());
        return List.copyOf(table.keySet());
    }

    /** Notes a fault that only the reader can see. */
    public <T> T reportProblem(String key, String what, T missing) {
        sheet.fault(where(key), said(key), what);
        return missing;
    }

    public String path() {
        return String.join(".", path);
    }

    void unknown(BiConsumer<Integer, String> told) {
        for (String key : table.keySet()) {
            if (!asked.contains(key)) {
                TomlPosition where = where(key);
                int line = where == null ? 1 : where.line();
                told.accept(line, sheet.said(line, said(key), "is no key here" + nearest(key)));
            }
        }
    }

    private String nearest(String key) {
        String best = null;
        int low = Math.max(2, key.length() / 3) + 1;
        for (String known : asked) {
            int far = distance(key, known);
            if (far < low) {
                low = far;
                best = known;
            }
        }
        return best != null
                ? "; do you mean " + best + "?"
                : "; known are " + String.join(", ", asked);
    }

    /** How many letters differ: the plain edit distance. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }

    private Object value(String key) {
        asked.add(key);
        return table.get(List.of(key));
    }

    private TomlPosition where(String key) {
        TomlPosition where =
                table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : null;
        return where == null ? at : where;
    }

    private String said(String key) {
        return path.isEmpty() ? key : path() + "." + key;
    }

    private List<String> down(String key) {
        List<String> deeper = new ArrayList<>(path);
        deeper.add(key);
        return deeper;
    }

    private static String plain(double d) {
        return d == Math.rint(d) && Math.abs(d) < 1e15
                ? Long.toString((long) d)
                : Double.toString(d);
    }
}
