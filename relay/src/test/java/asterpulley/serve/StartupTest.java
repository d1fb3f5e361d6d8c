package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Relays start while discovery cannot be reached. Guards against a start that waits for the server
 * list until the relay is ready too late.
 */
@Timeout(60)
class StartupTest extends RelayFixture {
    private static final Pattern SERVING_LINE =
            Pattern.compile("serving n1 at 127\\.0\\.0\\.1:(\\d+)");
    private static final int PROCESS_COUNT = 20;

    /** Seconds by which nine in ten processes have to be ready. */
    private static final double READY_DEADLINE_S = 10;

    /**
     * Returns the address of a discovery that refuses connections (0), answers with an error (1) or
     * is silent (2).
     */
    private String faultyDiscoveryAddress(int fault) throws IOException {
        if (fault == 0) {
            // Bound but not listening: connections are refused, and no other process gets the port.
            Socket boundSocket = new Socket();
            resources.add(boundSocket);
            boundSocket.bind(new InetSocketAddress("127.0.0.1", 0));
            return "127.0.0.1:" + boundSocket.getLocalPort();
        }
        return "127.0.0.1:"
                + listen(
                                connection -> {
                                    for (String line = connection.readLine();
                                            line != null;
                                            line = connection.readLine()) {
                                        if (line.isEmpty() && fault == 1) {
                                            connection.send(
                                                    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                                        }
                                        // Otherwise it reads the request and sends nothing.
                                    }
                                })
                        .getLocalPort();
    }

    private Path writeConfig(int index, String entry) throws IOException {
        String discovery = faultyDiscoveryAddress(index % 3);
        createConfig(1000, entry);
        Path file = folder.resolve("config-" + index + ".json");
        return Files.writeString(
                file,
                Files.readString(folder.resolve("config.json"))
                        .replaceFirst(
                                "\"discovery\":\"[^\"]*\"", "\"discovery\":\"" + discovery + "\"")
                        .replace("\"subscribe\"", "\"automatic\""));
    }

    /**
     * Starts a process and returns the seconds until it first answers a health check (PING) with
     * PONG.
     */
    private double secondsUntilReady(ProcessBuilder builder, Path log) throws Exception {
        long since = System.nanoTime();
        Process process = builder.start();
        resources.add(() -> process.destroyForcibly().waitFor());
        while (true) {
            Matcher matcher = SERVING_LINE.matcher(Files.exists(log) ? Files.readString(log) : "");
            if (matcher.find()) {
                try (TestConnection connection =
                        new TestConnection(
                                new Socket("127.0.0.1", Integer.parseInt(matcher.group(1))))) {
                    connection.send("PING\r\n");
                    assertEquals("PONG", connection.readLine());
                    return (System.nanoTime() - since) / 1e9;
                }
            }
            assertTrue(process.isAlive(), () -> "ended: " + log);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Test
    void nineInTenProcessesAreReadyInTimeWithoutDiscovery() throws Exception {
        Backend one = new Backend();
        Config slowConfig = Config.read(writeConfig(2, one.listEntry("s1", "up")));
        CompletableFuture<Double> slowStart = new CompletableFuture<>();
        runInBackground(
                () -> {
                    try {
                        slowStart.complete(secondsWaitedAfterSlowStart(slowConfig));
                    } catch (Throwable e) {
                        slowStart.completeExceptionally(e);
                    }
                });
        List<CompletableFuture<Double>> starts = new ArrayList<>();
        List<Path> configs = new ArrayList<>();
        for (int i = 0; i < PROCESS_COUNT; i++) {
            configs.add(writeConfig(i, one.listEntry("s1", "up")));
        }
        for (int i = 0; i < PROCESS_COUNT; i++) {
            Path log = folder.resolve("log-" + i);
            ProcessBuilder builder = relayProcessBuilder(configs.get(i), log);
            // The flags of deploy/run.
            builder.command()
                    .addAll(1, List.of("-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xss512k"));
            CompletableFuture<Double> start = new CompletableFuture<>();
            starts.add(start);
            runInBackground(
                    () -> {
                        try {
                            start.complete(secondsUntilReady(builder, log));
                        } catch (Throwable e) {
                            start.completeExceptionally(e);
                        }
                    });
        }
        List<Double> seconds = new ArrayList<>();
        for (CompletableFuture<Double> start : starts) {
            seconds.add(start.get(40, TimeUnit.SECONDS));
        }
        seconds.sort(null);
        assertTrue(
                seconds.get(PROCESS_COUNT * 9 / 10 - 1) < READY_DEADLINE_S,
                "ready after " + seconds);
        double waited = slowStart.get(20, TimeUnit.SECONDS);
        assertTrue(
                waited < 1.5,
                "a start that took 4.6 s does not wait 2.5 s more for a silent discovery: "
                        + waited);
    }

    /** Returns the seconds that a start which has already taken 4.6 s waits for the server list. */
    private double secondsWaitedAfterSlowStart(Config config) throws Exception {
        relay = new RelayInstance(config, null);
        resources.add(relay::kill);
        // Simulates a slow machine, on which it takes this long until the relay could listen.
        TimeUnit.MILLISECONDS.sleep(4600);
        long since = System.nanoTime();
        relay.open();
        return (System.nanoTime() - since) / 1e9;
    }
}
