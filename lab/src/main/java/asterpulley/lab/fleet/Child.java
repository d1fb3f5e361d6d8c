package asterpulley.lab.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A process of the laboratory itself: hollow relays, or stand-in servers. It is told what to do
 * line by line and answers each by a line of JSON. It is ended with the run, also when that is
 * broken off; no other process ever is.
 */
final class Child implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<Process> OURS = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> OURS.forEach(Process::destroyForcibly)));
    }

    private final Process process;
    private final Writer to;
    private final Path log;

    /** What it said, in order; guarded by itself. */
    private final List<JsonNode> said = new ArrayList<>();

    private boolean ended;

    /** Starts this main class with what it is told in a file, and so much heap. */
    Child(Path folder, String name, Class<?> main, Map<String, Object> told, int heapMb)
            throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.write(file, Catalog.json(told));
        log = folder.resolve(name + ".log");
        process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseG1GC",
                                "-XX:ParallelGCThreads=2",
                                "-XX:ConcGCThreads=1",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData",
                                "-Xss256k",
                                "-Xmx" + heapMb + "m",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main.getName(),
                                file.toString())
                        .redirectError(log.toFile())
                        .start();
        OURS.add(process);
        to = process.outputWriter(StandardCharsets.US_ASCII);
        Thread reader = new Thread(this::read, name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                process.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                JsonNode node = JSON.readTree(line);
                synchronized (said) {
                    said.add(node);
                }
            }
        } catch (IOException e) {
            // Seen below as its end.
            return;
        } finally {
            synchronized (said) {
                ended = true;
            }
        }
    }

    void tell(String line) throws IOException {
        to.write(line + "\n");
        to.flush();
    }

    /**
     * Its n-th answer; null where that has not come yet. Whoever waits for one of a process that
     * ended is told so.
     */
    JsonNode answer(int n) throws IOException {
        synchronized (said) {
            if (said.size() > n) {
                return said.get(n);
            }
            if (ended) {
                throw new IOException(
                        "a process of the laboratory ended by itself; its log is " + log);
            }
            return null;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        OURS.remove(process);
    }
}
