package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the files that processes of one relay share: complete, truncated, with foreign content, and
 * missing. Guards against cordons that are lost or made up, against failures on files that cannot
 * be read or written, and against a dead process that is taken for the successor.
 */
class StateFilesTest {
    @TempDir Path folder;

    private Path file(String kind) {
        return folder.resolve("asterpulley-n1." + kind);
    }

    @Test
    void cordonsAreReadByAnotherProcess() throws IOException {
        StateFiles one = new StateFiles(folder, "n1");
        StateFiles two = new StateFiles(folder, "n1");
        assertEquals(Optional.empty(), one.cordons());
        assertEquals(Optional.empty(), two.cordons());
        assertFalse(two.cordonsChanged());
        one.cordons(new TreeSet<>(Set.of("s-2", "s-1")));
        assertFalse(one.cordonsChanged(), "its own write does not count as a change");
        assertTrue(two.cordonsChanged());
        assertEquals(Optional.of(Set.of("s-1", "s-2")), two.cordons());
        assertFalse(two.cordonsChanged());
        one.cordons(new TreeSet<>());
        assertTrue(two.cordonsChanged());
        assertEquals(Optional.of(Set.of()), two.cordons());
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count(), "no temporary file is left");
        }
    }

    @Test
    void readsCompleteLinesOfATruncatedFile() throws IOException {
        StateFiles stateFiles = new StateFiles(folder, "n1");
        Set<String> names = new TreeSet<>(Set.of("s-1", "s-22", "s-333"));
        stateFiles.cordons(names);
        byte[] content = Files.readAllBytes(file("cordons"));
        int readBefore = 0;
        for (int length = 0; length <= content.length; length++) {
            Files.write(file("cordons"), Arrays.copyOf(content, length));
            Set<String> read = stateFiles.cordons().orElseThrow();
            assertTrue(names.containsAll(read), read + " at " + length);
            assertTrue(
                    read.size() >= readBefore,
                    "a longer part of the file never yields fewer names");
            readBefore = read.size();
        }
        assertEquals(3, readBefore);
        Random random = new Random(1);
        for (int i = 0; i < 200; i++) {
            byte[] foreign = new byte[random.nextInt(400)];
            random.nextBytes(foreign);
            Files.write(file("cordons"), foreign);
            stateFiles.cordons();
        }
    }

    @Test
    void reportsFilesThatCannotBeReadOrWritten() throws IOException {
        StateFiles stateFiles = new StateFiles(folder, "n1");
        Files.createDirectories(file("cordons").resolve("inside"));
        assertEquals(Optional.empty(), stateFiles.cordons());
        assertThrows(IOException.class, () -> stateFiles.cordons(new TreeSet<>(Set.of("s-1"))));
        StateFiles unwritable = new StateFiles(folder.resolve("no such folder"), "n1");
        assertEquals(Optional.empty(), unwritable.cordons());
        assertThrows(IOException.class, () -> unwritable.cordons(new TreeSet<>(Set.of("s-1"))));
        unwritable.markServing();
        assertFalse(unwritable.isSuperseded());
    }

    @Test
    void restoresLearnedValuesAndIgnoresMalformedFiles() throws IOException {
        StateFiles stateFiles = new StateFiles(folder, "n1");
        assertEquals(0, stateFiles.learned().length);
        stateFiles.learned(new double[] {0, 0.25, 46});
        assertTrue(
                Arrays.equals(new double[] {0, 0.25, 46}, new StateFiles(folder, "n1").learned()));
        Files.writeString(file("learned"), "0.25\nmany\n");
        assertEquals(0, stateFiles.learned().length);
        new StateFiles(folder.resolve("no such folder"), "n1").learned(new double[] {1});
    }

    @Test
    void onlyARunningOtherProcessHasTakenOver() throws Exception {
        StateFiles stateFiles = new StateFiles(folder, "n1");
        assertFalse(stateFiles.isSuperseded(), "no process is recorded");
        stateFiles.markServing();
        assertFalse(stateFiles.isSuperseded(), "it is this process");
        Process other = new ProcessBuilder("sleep", "60").start();
        Files.writeString(file("serving"), other.pid() + "\n");
        assertTrue(stateFiles.isSuperseded());
        other.destroyForcibly().waitFor();
        assertFalse(stateFiles.isSuperseded(), "it has died");
        for (String wrong : new String[] {"", "12", "x\n", "-1\n", "99999999999999999999\n"}) {
            Files.writeString(file("serving"), wrong);
            assertFalse(stateFiles.isSuperseded() && wrong.isEmpty(), wrong);
        }
    }
}
