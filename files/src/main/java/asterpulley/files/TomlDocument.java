package asterpulley.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * One operator file in TOML, checked as a whole. All problems (syntax, unknown keys, types, ranges)
 * are collected with their line and key path and reported in one pass. A key that nothing reads is
 * a problem too.
 */
public final class TomlDocument {
    private record Problem(int line, String message) {}

    private final String fileName;
    private final TomlParseResult toml;
    private final List<Problem> reported = new ArrayList<>();
    private final List<TomlSection> sections = new ArrayList<>();
    private final TomlSection root;

    private TomlDocument(String fileName, TomlParseResult toml) {
        this.fileName = fileName;
        this.toml = toml;
        toml.errors()
                .forEach(
                        error ->
                                addProblem(
                                        error.position(),
                                        "",
                                        error.getMessage().lines().findFirst().orElse("not TOML")));
        root = new TomlSection(this, toml, List.of(), null);
    }

    /** Reads and parses a file. Syntax errors are problems of the document. */
    public static TomlDocument read(Path file) throws IOException {
        return new TomlDocument(file.toString(), Toml.parse(Files.readString(file)));
    }

    /** Parses a text; {@code name} stands for the file in problems. */
    public static TomlDocument parse(String name, String text) {
        return new TomlDocument(name, Toml.parse(text));
    }

    /** The top-level table. */
    public TomlSection root() {
        return root;
    }

    /**
     * All problems found so far, in the order of their lines. Keys that nothing has read by now are
     * reported as unknown.
     */
    public List<String> problems() {
        List<Problem> all = new ArrayList<>(reported);
        if (toml.errors().isEmpty()) {
            sections.forEach(
                    section ->
                            section.reportUnknownKeys(
                                    (line, message) -> all.add(new Problem(line, message))));
        }
        return all.stream()
                .sorted(Comparator.comparingInt(Problem::line))
                .map(problem -> problem.message)
                .distinct()
                .toList();
    }

    void register(TomlSection section) {
        sections.add(section);
    }

    void addProblem(TomlPosition position, String path, String message) {
        int line = position == null ? 1 : position.line();
        reported.add(new Problem(line, formatProblem(line, path, message)));
    }

    String formatProblem(int line, String path, String message) {
        return fileName + ":" + line + ": " + (path.isEmpty() ? "" : path + ": ") + message;
    }
}
