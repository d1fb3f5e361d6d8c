package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What operators start, with a stand-in for the JVM that only tells how it was called. */
class DeployTest {
    @TempDir Path folder;

    private String runWith(String config) throws Exception {
        Path java = folder.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        ProcessBuilder run = new ProcessBuilder("sh", "../deploy/run").redirectErrorStream(true);
        // Nothing but the stand-in can be found: a start that needs other programs fails.
        run.command().set(0, "/bin/sh");
        run.environment().put("PATH", folder.toString());
        run.environment().put("LB_CONFIG", file.toString());
        Process process = run.start();
        String called = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), called);
        return called;
    }

    @Test
    void theHeapIsWhatTheToldMemoryLeavesForIt() throws Exception {
        String limits =
                "{\"limits\":{\"cores\":0.5,\n \"memory_mb\" : %d,\"sockets\":384},\"settings\":{}}";
        for (int[] c : new int[][] {{192, 124}, {144, 82}, {96, 40}, {64, 12}, {32, 12}}) {
            String called = runWith(limits.formatted(c[0]));
            assertTrue(called.contains(" -Xmx" + c[1] + "m "), c[0] + ": " + called);
            assertTrue(called.endsWith(" serve\n"), called);
        }
        String shared =
                "{\"operator\":\"10.0.0.4:9800\",\"limits\":{\"memory_mb\":208},\"known\":{}}";
        assertTrue(
                runWith(shared).contains(" -Xmx47m "),
                "where an upgrade starts a second process each gets half");
        String spread = "{\"limits\":{\"memory_mb\"\n :\n 96}, \"known\":{}}";
        assertTrue(
                runWith(spread).contains(" -Xmx40m "),
                "spread over lines, the last without an end");
        assertTrue(runWith("{}").contains(" -Xmx124m "), "without a limit, as for the largest");
    }
}
