package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the operators' start script with a fake {@code java} that only prints its arguments. Guards
 * against a heap that does not fit into the configured memory, and against a script that needs
 * programs other than the shell and java.
 */
class RunScriptTest {
    @TempDir Path folder;

    private String runWithConfig(String config) throws Exception {
        Path fakeJava = folder.resolve("java");
        Files.writeString(fakeJava, "#!/bin/sh\necho \"$@\"\n");
        assertTrue(fakeJava.toFile().setExecutable(true));
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        ProcessBuilder builder =
                new ProcessBuilder("sh", "../deploy/run").redirectErrorStream(true);
        // Only the fake java is on the PATH, so a script that needs other programs fails.
        builder.command().set(0, "/bin/sh");
        builder.environment().put("PATH", folder.toString());
        builder.environment().put("LB_CONFIG", file.toString());
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        return output;
    }

    @Test
    void heapSizeFollowsFromTheMemoryLimit() throws Exception {
        String limits =
                "{\"limits\":{\"cores\":0.5,\n \"memory_mb\" : %d,\"sockets\":384},\"settings\":{}}";
        for (int[] c : new int[][] {{192, 124}, {144, 82}, {96, 40}, {64, 12}, {32, 12}}) {
            String output = runWithConfig(limits.formatted(c[0]));
            assertTrue(output.contains(" -Xmx" + c[1] + "m "), c[0] + ": " + output);
            assertTrue(output.endsWith(" serve\n"), output);
        }
        String shared =
                "{\"operator\":\"10.0.0.4:9800\",\"limits\":{\"memory_mb\":208},\"known\":{}}";
        assertTrue(
                runWithConfig(shared).contains(" -Xmx47m "),
                "each process gets half where an upgrade starts a second one");
        String spread = "{\"limits\":{\"memory_mb\"\n :\n 96}, \"known\":{}}";
        assertTrue(
                runWithConfig(spread).contains(" -Xmx40m "),
                "spread over lines, the last without a line end");
        assertTrue(
                runWithConfig("{}").contains(" -Xmx124m "),
                "without a limit, the heap of the largest size");
    }
}
