package asterpulley;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Runs every scenario under src/test/resources/scenarios; a line "== title" starts one. */
class ScenarioTest {
    @TestFactory
    List<DynamicTest> scenarios() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios")).sorted()) {
            for (Path file : (Iterable<Path>) files::iterator) {
                for (String text : Files.readString(file).split("(?m)^== ")) {
                    String[] lines = text.split("\n");
                    if (lines.length > 1) {
                        tests.add(DynamicTest.dynamicTest(lines[0], () -> play(lines)));
                    }
                }
            }
        }
        return tests;
    }

    private static void play(String[] lines) throws ReflectiveOperationException {
        ScenarioRunner runner = new ScenarioRunner();
        for (int i = 1; i < lines.length; i++) {
            if (lines[i].isBlank() || lines[i].startsWith("#")) {
                continue;
            }
            try {
                runner.playLine(lines[i]);
            } catch (AssertionError e) {
                throw new AssertionError(lines[i] + ": " + e.getMessage(), e);
            }
        }
    }
}
