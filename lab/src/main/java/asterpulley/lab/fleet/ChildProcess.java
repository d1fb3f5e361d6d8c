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
 * A process of the lab itself, running simulated relays or stub servers. It receives commands line
 * by line and answers with lines of JSON. It is ended with this JVM, also when a run is aborted;
 * other processes are never touched.
 */
final class ChildProcess implements Closeable {
    private static final ObjectMapper JSON_MAPPER = new ObjectMapper();
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Process process;
    private final Writer commands;
    private final Path log;

    /** The answers in order; also the lock that guards them and {@code ended}. */
    private final List<JsonNode> answers = new ArrayList<>();

    private boolean ended;

    /** Starts this main class with its options in a JSON file and with the given heap size. */
    ChildProcess(Path folder, String name, Class<?> main, Map<String, Object> options, int heapMb)
            throws IOException {
        Path optionsFile = folder.resolve(name + ".json");
        Files.write(optionsFile, ServerCatalog.toJson(options));
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
                                optionsFile.toString())
                        .redirectError(log.toFile())
                        .start();
        STARTED.add(process);
        commands = process.outputWriter(StandardCharsets.US_ASCII);
        Thread reader = new Thread(this::readAnswers, name);
        reader.setDaemon(true);
        reader.start();
    }

    private void readAnswers() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                process.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                JsonNode node = JSON_MAPPER.readTree(line);
                synchronized (answers) {
                    answers.add(node);
                }
            }
        } catch (IOException e) {
            // The end of the process is reported by answer().
            return;
        } finally {
            synchronized (answers) {
                ended = true;
            }
        }
    }

    void send(String line) throws IOException {
        commands.write(line + "\n");
        commands.flush();
    }

    /**
     * Returns the answer with index {@code n}, or null if it has not arrived yet. Throws if the
     * process has ended without giving it.
     */
    JsonNode answer(int index) throws IOException {
        synchronized (answers) {
            if (answers.size() > index) {
                return answers.get(index);
            }
            if (ended) {
                throw new IOException("a process of the lab ended by itself; its log is " + log);
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
        STARTED.remove(process);
    }
}
