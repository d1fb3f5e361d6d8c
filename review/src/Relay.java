import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** One relay, started by the command of the deploy file as a process of its own. */
final class Relay {
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    final String label;
    final int port;
    final int operatorPort;
    final Process process;

    private Relay(String label, int port, int operatorPort, Process process) {
        this.label = label;
        this.port = port;
        this.operatorPort = operatorPort;
        this.process = process;
    }

    static String config(String name, int port, int operatorPort, int discoveryPort, String known, String settings) {
        return config(name, port, operatorPort, discoveryPort, known, settings, 192);
    }

    /** The configuration as the platform writes it. {@code operatorPort}: 0 for none. */
    static String config(
            String name, int port, int operatorPort, int discoveryPort, String known, String settings, int memoryMb) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + Net.address(port) + "\",\"discovery\":\""
                + Net.address(discoveryPort) + "\","
                + (operatorPort == 0 ? "" : "\"operator\":\"" + Net.address(operatorPort) + "\",")
                + "\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":1024},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    static Relay start(String label, int port, int operatorPort, String config, Path folder, Path tmpdir)
            throws IOException {
        Path file = folder.resolve(label + ".json");
        Files.writeString(file, config);
        Files.createDirectories(tmpdir);
        ProcessBuilder builder = new ProcessBuilder(List.of("sh", "-c", "exec sh deploy/run"));
        builder.directory(new File(System.getProperty("root")));
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", tmpdir.toString());
        builder.redirectInput(new File("/dev/null"));
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(label + ".log").toFile());
        Process process = builder.start();
        STARTED.add(process);
        Record.line("relay " + label + " started, process " + process.pid());
        return new Relay(label, port, operatorPort, process);
    }

    void signal(String name) throws IOException {
        Record.line("SIG" + name + " to relay " + label);
        try {
            new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** SIGKILL, as the platform does once the time after SIGTERM is over; nothing if it has ended. */
    void kill() {
        if (process.isAlive()) {
            Record.line("SIGKILL to relay " + label);
        }
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        STARTED.remove(process);
    }

    /** The answer to PING on a connection of its own; a text in brackets if there is none. */
    String ping() {
        try (Socket socket = Net.connect(port, 1000)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(Net.line("PING"));
            String answer = new Net.LineReader(socket).next();
            return answer == null ? "(end)" : answer;
        } catch (IOException e) {
            return "(" + e.getMessage() + ")";
        }
    }

    boolean awaitReady(double seconds) {
        double end = Record.now() + seconds;
        while (Record.now() < end) {
            if ("PONG".equals(ping())) {
                Record.line("relay " + label + " is ready");
                return true;
            }
            Net.sleep(0.1);
        }
        Record.line("relay " + label + " was not ready in " + seconds + " s");
        return false;
    }

    /** An operator's call; the status, or 0 if there was no answer. */
    int call(String method, String path) {
        int status = 0;
        try (Socket socket = Net.connect(operatorPort, 1000)) {
            socket.setSoTimeout(1500);
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String first = new Net.LineReader(socket).next();
            status = first == null ? 0 : Integer.parseInt(first.split(" ")[1]);
        } catch (IOException e) {
            status = 0;
        }
        return status;
    }

    boolean awaitHealth(double seconds) {
        double end = Record.now() + seconds;
        while (Record.now() < end) {
            if (call("GET", "/admin/health") == 200) {
                Record.line("relay " + label + " says yes to health");
                return true;
            }
            Net.sleep(0.05);
        }
        return false;
    }
}
