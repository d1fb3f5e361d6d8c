package asterpulley.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The problems reported for a file: all of them in one pass, with their positions. */
class TomlDocumentTest {
    private static List<String> problemsOf(String text) {
        TomlDocument document = TomlDocument.parse("f.toml", text);
        TomlSection root = document.root();
        root.require("name").text("name", "");
        root.number("rate", 1, 0, 10);
        root.integer("count", 1, 1, 5);
        root.flag("on", false);
        root.oneOf("kind", "a", "a", "b");
        root.texts("zones");
        for (TomlSection server : root.sections("server")) {
            server.require("dial").text("dial", "");
            server.section("warm").number("up_s", 0, 0, 100);
        }
        return document.problems();
    }

    @Test
    void validFileHasNoProblems() {
        assertEquals(
                List.of(),
                problemsOf("name = \"a\"\nrate = 3\n[[server]]\ndial = \"x\"\nwarm.up_s = 4\n"));
    }

    @Test
    void reportsAllProblemsInOnePassWithTheirLines() {
        assertEquals(
                List.of(
                        "f.toml:1: name: is missing",
                        "f.toml:1: rate: 11 is not between 0 and 10",
                        "f.toml:2: count: is not a whole number",
                        "f.toml:3: kind: 'c' is none of a, b",
                        "f.toml:4: zonse: is not a known key; did you mean zones?",
                        "f.toml:5: on: is neither true nor false",
                        "f.toml:6: server[0].dial: is missing",
                        "f.toml:8: server[0].warm.up_s: is not a number",
                        "f.toml:10: server[1].dial: is not a text"),
                problemsOf(
                        "rate = 11\ncount = 1.5\nkind = \"c\"\nzonse = []\non = \"yes\"\n"
                                + "[[server]]\n[server.warm]\nup_s = \"x\"\n[[server]]\ndial = 3\n"));
    }

    @Test
    void reportsSyntaxErrorsWithTheirLine() {
        List<String> problems = problemsOf("name = \"a\"\nrate = = 3\n");
        assertTrue(problems.get(0).startsWith("f.toml:2: "), problems.toString());
    }
}
