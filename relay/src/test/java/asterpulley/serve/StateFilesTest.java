package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.settings.ActiveSettings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
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

    /** Guards against another process's write that is missed since it follows the own one. */
    @Test
    void noticesWritesOfAnotherProcessRightAfterItsOwn() throws IOException {
        StateFiles one = new StateFiles(folder, "n1");
        StateFiles two = new StateFiles(folder, "n1");
        FileTime time = FileTime.fromMillis(1_000_000);
        one.cordons(Set.of("s-1"));
        Files.setLastModifiedTime(file("cordons"), time);
        assertFalse(one.cordonsChanged());
        two.cordons(Set.of("s-2"));
        Files.setLastModifiedTime(file("cordons"), time);
        assertTrue(one.cordonsChanged(), "of the same length and at the same time");
        assertEquals(Optional.of(Set.of("s-2")), one.cordons());
    }

    /** Guards against a change that replaces what another process has stored. */
    @Test
    void changesOfTwoProcessesAddUp() throws Exception {
        Set<String> names = new TreeSet<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            String prefix = "s-" + i + "-";
            StateFiles stateFiles = new StateFiles(folder, "n1");
            for (int n = 0; n < 50; n++) {
                names.add(prefix + n);
            }
            writers.add(
                    new Thread(
                            () -> {
                                for (int n = 0; n < 50; n++) {
                                    addPatiently(stateFiles, prefix + n);
                                }
                            }));
        }
        writers.forEach(Thread::start);
        for (Thread writer : writers) {
            writer.join();
        }
        assertEquals(Optional.of(names), new StateFiles(folder, "n1").cordons());
    }

    private static void addPatiently(StateFiles stateFiles, String name) {
        try {
            while (stateFiles
                    .changeCordons(
                            servers -> {
                                Set<String> more = new TreeSet<>(servers);
                                more.add(name);
                                return more;
                            },
                            Set.of())
                    .isEmpty()) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against settings of a slow process that replace later ones of the other. */
    @Test
    void storesNoOlderSettingsOfTheSameService() throws IOException {
        StateFiles one = new StateFiles(folder, "n1");
        StateFiles two = new StateFiles(folder, "n1");
        assertTrue(two.storeSettings("a:1", version(6), Map.of("epoch", 1, "seq", 6)));
        assertTrue(one.storeSettings("a:1", version(5), Map.of("epoch", 1, "seq", 5)));
        assertEquals(6L, ((Number) one.settings().get("seq")).longValue());
        assertTrue(one.storeSettings("b:1", version(2), Map.of("epoch", 1, "seq", 2)));
        assertEquals(2L, ((Number) two.settings().get("seq")).longValue(), "of another service");
        Files.writeString(file("settings"), "{\"epoch\":");
        assertTrue(one.storeSettings("b:1", version(1), Map.of("epoch", 1, "seq", 1)));
        assertEquals(1L, ((Number) two.settings().get("seq")).longValue());
    }

    private static ActiveSettings.Version version(long seq) {
        return new ActiveSettings.Version(1, seq);
    }

    /** Guards against a grace that is over before another process looks at the cordons. */
    @Test
    void looksAtCordonsWithinTheDrainGrace() {
        for (double grace : new double[] {0.05, 0.1, 0.5, 3}) {
            assertTrue(2 * OperatorService.cordonCheckInterval(grace) <= grace, "at " + grace);
            assertTrue(OperatorService.cordonCheckInterval(grace) <= 0.2, "at " + grace);
        }
        assertTrue(OperatorService.cordonCheckInterval(0) > 0);
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
        Files.setLastModifiedTime(file("serving"), FileTime.from(Instant.now().minusSeconds(60)));
        assertFalse(stateFiles.isSuperseded(), "its number belonged to one that has died");
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
