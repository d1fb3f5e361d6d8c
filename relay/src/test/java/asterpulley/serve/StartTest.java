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

/** A relay starts while its discovery cannot be had: it is ready in time all the same. */
@Timeout(60)
class StartTest extends RelayStage {
    private static final Pattern SERVING = Pattern.compile("serving n1 at 127\\.0\\.0\\.1:(\\d+)");
    private static final int PROCESSES = 20;

    /** Nine in ten of them are to be ready by then. */
    private static final double READY = 10;

    /** The address of a discovery that is in this trouble. */
    private String discovery(int trouble) throws IOException {
        if (trouble == 0) {
            // Bound and never listened at: nobody is there, and nobody else comes there.
            Socket nobody = new Socket();
            open.add(nobody);
            nobody.bind(new InetSocketAddress("127.0.0.1", 0));
            return "127.0.0.1:" + nobody.getLocalPort();
        }
        return "127.0.0.1:"
                + listen(
                                end -> {
                                    for (String line = end.line();
                                            line != null;
                                            line = end.line()) {
                                        if (line.isEmpty() && trouble == 1) {
                                            end.say(
                                                    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                                        }
                                        // Else it takes the call and says nothing.
                                    }
                                })
                        .getLocalPort();
    }

    private Path told(int n, String entry) throws IOException {
        String discovery = discovery(n % 3);
        config(1000, entry);
        Path file = folder.resolve("config-" + n + ".json");
        return Files.writeString(
                file,
                Files.readString(folder.resolve("config.json"))
                        .replaceFirst(
                                "\"discovery\":\"[^\"]*\"", "\"discovery\":\"" + discovery + "\"")
                        .replace("\"subscribe\"", "\"automatic\""));
    }

    /** Seconds from the start of the process to its first yes to a check of the front. */
    private double ready(ProcessBuilder run, Path log) throws Exception {
        long since = System.nanoTime();
        Process process = run.start();
        open.add(() -> process.destroyForcibly().waitFor());
        while (true) {
            Matcher serving = SERVING.matcher(Files.exists(log) ? Files.readString(log) : "");
            if (serving.find()) {
                try (End end =
                        new End(new Socket("127.0.0.1", Integer.parseInt(serving.group(1))))) {
                    end.say("PING\r\n");
                    assertEquals("PONG", end.line());
                    return (System.nanoTime() - since) / 1e9;
                }
            }
            assertTrue(process.isAlive(), () -> "ended: " + log);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Test
    void nineInTenOfTwentyProcessesThatStartAtOnceAreReadyInTimeWithoutTheirDiscovery()
            throws Exception {
        Backend one = new Backend();
        Config slow = Config.read(told(2, one.entry("s1", "up")));
        CompletableFuture<Double> slowStart = new CompletableFuture<>();
        background(
                () -> {
                    try {
                        slowStart.complete(slowStart(slow));
                    } catch (Throwable e) {
                        slowStart.completeExceptionally(e);
                    }
                });
        List<CompletableFuture<Double>> starts = new ArrayList<>();
        List<Path> configs = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            configs.add(told(i, one.entry("s1", "up")));
        }
        for (int i = 0; i < PROCESSES; i++) {
            Path log = folder.resolve("log-" + i);
            ProcessBuilder run = process(configs.get(i), log);
            // As deploy/run starts it.
            run.command()
                    .addAll(1, List.of("-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xss512k"));
            CompletableFuture<Double> start = new CompletableFuture<>();
            starts.add(start);
            background(
                    () -> {
                        try {
                            start.complete(ready(run, log));
                        } catch (Throwable e) {
                            start.completeExceptionally(e);
                        }
                    });
        }
        List<Double> took = new ArrayList<>();
        for (CompletableFuture<Double> start : starts) {
            took.add(start.get(40, TimeUnit.SECONDS));
        }
        took.sort(null);
        assertTrue(took.get(PROCESSES * 9 / 10 - 1) < READY, "ready after " + took);
        double waited = slowStart.get(20, TimeUnit.SECONDS);
        assertTrue(
                waited < 1.5,
                "a start of 4.6 s waits no 2.5 s more for a silent discovery: " + waited);
    }

    /** Seconds that a start waits for the list which has taken 4.6 s until then. */
    private double slowStart(Config config) throws Exception {
        serve = new RelayInstance(config, null);
        open.add(serve::kill);
        // The machine is slow: so long it takes until it could listen.
        TimeUnit.MILLISECONDS.sleep(4600);
        long since = System.nanoTime();
        serve.open();
        return (System.nanoTime() - since) / 1e9;
    }
}
