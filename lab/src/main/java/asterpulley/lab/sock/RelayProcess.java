package asterpulley.lab.sock;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A real relay in a process of its own. The process is ended with this JVM, also when a run is
 * aborted. Processes that were not started here are never touched.
 */
public final class RelayProcess {
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Process process;
    public final InetSocketAddress address;

    private final Path configFile;

    private RelayProcess(Process process, Path configFile, InetSocketAddress address) {
        this.configFile = configFile;
        this.process = process;
        this.address = address;
    }

    /** Starts a relay with this configuration; once ready it listens on {@code address}. */
    public static RelayProcess start(
            Path folder,
            String name,
            Map<String, Object> config,
            int memoryMb,
            InetSocketAddress address)
            throws IOException {
        Path configFile = folder.resolve(name + ".json");
        Files.writeString(configFile, SimulationServerList.toJson(config));
        int heapMb = Math.max(12, Math.min(2048, memoryMb - memoryMb / 8 - 44));
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData",
                                "-Xshare:auto",
                                "-Xss512k",
                                "-Xmx" + heapMb + "m",
                                "-XX:MaxDirectMemorySize=" + Math.max(8, memoryMb / 16) + "m",
                                "-XX:MaxMetaspaceSize=32m",
                                "-XX:ReservedCodeCacheSize=16m",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "asterpulley.serve.Main",
                                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LB_CONFIG", configFile.toString());
        builder.environment().put("MALLOC_ARENA_MAX", "1");
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        STARTED.add(process);
        return new RelayProcess(process, configFile, address);
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public int exitStatus() {
        return process.exitValue();
    }

    /** Replaces the configuration file and signals the relay to reload it. */
    void reload(Map<String, Object> config) throws IOException {
        Path newFile = configFile.resolveSibling(configFile.getFileName() + ".new");
        Files.writeString(newFile, SimulationServerList.toJson(config));
        Files.move(
                newFile,
                configFile,
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
        runCommand("kill", "-HUP", Long.toString(process.pid()));
    }

    /** Requests a graceful shutdown. */
    public void terminate() {
        process.destroy();
    }

    /** Kills the process and waits until it is gone. */
    public void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        STARTED.remove(process);
    }

    /** Returns the resident memory in bytes, or NaN if the system does not report it. */
    public double residentBytes() {
        try {
            for (String line :
                    Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) * 1024;
                }
            }
        } catch (IOException e) {
            // Not available on this system, or the process has just ended.
            return Double.NaN;
        }
        return Double.NaN;
    }

    /**
     * Returns the bytes in use on the relay's heap after a collection, as reported by {@code jcmd}.
     */
    public double heapAfterGc() throws IOException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        String pid = Long.toString(process.pid());
        runCommand(jcmd, pid, "GC.run");
        double used = 0;
        Matcher matcher =
                Pattern.compile("(?:generation|space) +total [0-9]+K, used ([0-9]+)K")
                        .matcher(runCommand(jcmd, pid, "GC.heap_info"));
        while (matcher.find()) {
            used += Double.parseDouble(matcher.group(1)) * 1024;
        }
        return used;
    }

    private static String runCommand(String... command) throws IOException {
        Process commandProcess = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output =
                new String(commandProcess.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        try {
            // The output is complete, so the process ends in a moment; wait for it so that no
            // child process is left over.
            commandProcess.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return output;
    }

    /** Returns the CPU time used so far, in seconds. */
    public double cpuSeconds() {
        return process.info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(Double.NaN);
    }
}
