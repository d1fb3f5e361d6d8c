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
 * Owns the reading of one operator file: TOML, checked whole. Whatever is wrong with it (form, a
 * key that nobody knows, a type, a range) is gathered with its line and path and told in one pass.
 * It must never stop at the first fault, and never let a key pass that nothing reads.
 */
public final class TomlDocument {
    private record Fault(int line, String what) {}

    private final String file;
    private final TomlParseResult toml;
    private final List<Fault> faults = new ArrayList<>();
    private final List<TomlSection> parts = new ArrayList<>();
    private final TomlSection root;

    private TomlDocument(String file, TomlParseResult toml) {
        this.file = file;
        this.toml = toml;
        toml.errors()
                .forEach(
                        e ->
                                fault(
                                        e.position(),
                                        "",
                                        e.getMessage().lines().findFirst().orElse("not TOML")));
        root = new TomlSection(this, toml, List.of(), null);
    }

    public static TomlDocument read(Path file) throws IOException {
        return new TomlDocument(file.toString(), Toml.parse(Files.readString(file)));
    }

    public static TomlDocument parse(String name, String text) {
        return new TomlDocument(name, Toml.parse(text));
    }

    public TomlSection root() {
        return root;
    }

    /**
     * All that is wrong with it so far, in the order of its lines; keys that nothing has read are
     * told here.
     */
    public List<String> problems() {
        List<Fault> all = new ArrayList<>(faults);
        if (toml.errors().isEmpty()) {
            parts.forEach(part -> part.unknown((line, what) -> all.add(new Fault(line, what))));
        }
        return all.stream()
                .sorted(Comparator.comparingInt(Fault::line))
                .map(f -> f.what)
                .distinct()
                .toList();
    }

    void enter(TomlSection part) {
        parts.add(part);
    }

    void fault(TomlPosition at, String path, String what) {
        int line = at == null ? 1 : at.line();
        faults.add(new Fault(line, said(line, path, what)));
    }

    String said(int line, String path, String what) {
        return file + ":" + line + ": " + (path.isEmpty() ? "" : path + ": ") + what;
    }
}
