package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.line.LineCodec;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Sends generated open requests to a relay. Guards against malformed requests that reach a backend,
 * leak a socket or tunnel, or grow the heap.
 */
class OpenRequestFuzzTest {
    private static final Logger LOGGER = Logger.getLogger("asterpulley");
    private static final Set<String> FORWARDED_IDS = ConcurrentHashMap.newKeySet();
    private static final Set<String> MALFORMED_IDS = ConcurrentHashMap.newKeySet();
    private static final long MAX_HEAP_GROWTH_BYTES = 16 << 20;
    private static ServerSocket backend;
    private static ExecutorService threads;
    private static RelayInstance relay;
    private static long lastId;
    private static int attempts;
    private static long baselineHeapBytes;

    /**
     * What a client sends, and whether it is a well-formed open request. {@code %s} stands for the
     * id.
     */
    private record ClientInput(String text, boolean wellFormed) {}

    @BeforeContainer
    static void startBackendAndRelay() throws IOException {
        LOGGER.setLevel(Level.WARNING);
        threads =
                Executors.newCachedThreadPool(
                        r -> {
                            Thread t = new Thread(r);
                            t.setDaemon(true);
                            return t;
                        });
        backend = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        threads.submit(
                () -> {
                    while (true) {
                        Socket s = backend.accept();
                        threads.submit(() -> serveBackend(s));
                    }
                });
        Map<String, Object> host =
                Map.of("host", "b", "dial", "127.0.0.1:" + backend.getLocalPort(), "health", "up");
        relay =
                new RelayInstance(
                        Config.of(
                                Map.of(
                                        "name",
                                        "fuzz",
                                        "listen",
                                        "127.0.0.1:0",
                                        "seed",
                                        "1",
                                        "limits",
                                        Map.of("sockets", 300, "memory_mb", 64),
                                        "known",
                                        Map.of("seq", 1, "whole", true, "hosts", List.of(host)),
                                        "settings",
                                        Map.of(
                                                "profiles",
                                                List.of(
                                                        Map.of(
                                                                "name",
                                                                "live",
                                                                "effect",
                                                                "read_like",
                                                                "clientTimeoutMs",
                                                                3000,
                                                                "setupGoalMs",
                                                                2000)),
                                                "tenants",
                                                List.of(Map.of("name", "acme")),
                                                "limits",
                                                Map.of("probes", true, "mostSetups", 2)))),
                        null);
        relay.open();
    }

    private static Void serveBackend(Socket s) throws IOException {
        try (s) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("OPEN")) {
                    FORWARDED_IDS.add(line.split(" ", -1)[1]);
                }
                s.getOutputStream()
                        .write(
                                (line.equals("STATS") ? "PONG x0=0.01\r\n" : "UP r1\r\n")
                                        .getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        return null;
    }

    @AfterContainer
    static void checkForLeaksAndStop() throws Exception {
        // Two of the sockets are probe connections. All tunnels and pending connections must end
        // within their timeouts.
        long left = Long.MAX_VALUE;
        for (int i = 0; i < 100 && left > 2; i++) {
            Thread.sleep(50);
            left = readOnEventLoop(book -> (long) book.sockets + book.held());
        }
        long wide = left;
        assertTrue(wide <= 2, "sockets and tunnels left: " + wide);
        MALFORMED_IDS.retainAll(FORWARDED_IDS);
        assertEquals(Set.of(), MALFORMED_IDS, "reached a backend though malformed");
        assertTrue(
                readOnEventLoop(book -> book.counterValue("opened")) > 100,
                "well-formed requests open tunnels");
        long heap = usedHeapBytes();
        assertTrue(
                heap - baselineHeapBytes < MAX_HEAP_GROWTH_BYTES,
                "the heap grew by " + (heap - baselineHeapBytes));
        relay.kill();
        backend.close();
        threads.shutdownNow();
        LOGGER.setLevel(null);
    }

    private static long readOnEventLoop(
            java.util.function.ToLongFunction<asterpulley.net.TunnelRegistry> what)
            throws Exception {
        CompletableFuture<Long> got = new CompletableFuture<>();
        relay.readCounters(book -> got.complete(what.applyAsLong(book)));
        return got.get(20, TimeUnit.SECONDS);
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    @Provide
    Arbitrary<ClientInput> openings() {
        Arbitrary<String> key =
                Arbitraries.strings()
                        .withChars("0123456789abcdefABCDEF")
                        .ofMinLength(1)
                        .ofMaxLength(32);
        Arbitrary<Integer> wait = Arbitraries.integers().between(500, 3000);
        Arbitrary<String> extra =
                Arbitraries.of("", ",g=5c", ",r=1", ",again=1", ",h=0.3,x=y", ",note=a=b");
        Arbitrary<ClientInput> good =
                Combinators.combine(key, wait, extra)
                        .as(
                                (k, d, x) ->
                                        new ClientInput(
                                                "OPEN %s "
                                                        + k
                                                        + " c=live,t=acme,d="
                                                        + d
                                                        + x
                                                        + "\r\n",
                                                true));
        Arbitrary<String> wrongPairs =
                Arbitraries.of(
                        "c=live,t=acme",
                        "c=live,d=0",
                        "c=live,d=-5",
                        "c=live,d=5.5",
                        "c=live,d=",
                        "c=live,d=99999999999",
                        "c=live,d=1e3",
                        "c=,d=500",
                        "c=none,d=500",
                        "d=500",
                        "c=live,t=other,d=500",
                        "c=live,d=500,d=600",
                        "c=live,c=live,d=500",
                        "c=live,,d=500",
                        "=live,d=500",
                        "c=live,d=500,",
                        "c=live d=500",
                        "c=live,at=,d=500",
                        "c=live,d=500,g",
                        "c=live,d=500\t",
                        "c=live,d=\u0000500",
                        "c=live,d=+500",
                        "c=live,d=0500");
        Arbitrary<ClientInput> wrong =
                Combinators.combine(key, wrongPairs)
                        .as((k, p) -> new ClientInput("OPEN %s " + k + " " + p + "\r\n", false));
        Arbitrary<ClientInput> words =
                Combinators.combine(
                                Arbitraries.of(
                                        "open", "OPEN ", " OPEN", "OPENED", "GET", "MOVE", "UP", "",
                                        "STATS", "PONG", "BUSY", "OPEN\t"),
                                key)
                        .as((w, k) -> new ClientInput(w + " %s " + k + " c=live,d=500\r\n", false));
        Arbitrary<ClientInput> marks =
                Combinators.combine(
                                Arbitraries.strings()
                                        .ofMinLength(1)
                                        .ofMaxLength(40)
                                        .withChars("ghij-_.:/\u00e9 \t"),
                                Arbitraries.of(true, false))
                        .as(
                                (m, first) ->
                                        new ClientInput(
                                                first
                                                        ? "OPEN " + m + "%s a c=live,d=500\r\n"
                                                        : "OPEN %s " + m + " c=live,d=500\r\n",
                                                false));
        Arbitrary<ClientInput> ends =
                Arbitraries.of(
                                "OPEN %s a c=live,d=500\n",
                                "OPEN %s a c=live,d=500\r\nOPEN",
                                "OPEN %s a c=live,d=500\r\nm 1\r\n",
                                "OPEN %s a c=live,d=500",
                                "OPEN %s a",
                                "OPEN %s a c=live,d=500\r",
                                "OPEN %s a c=live,d=500\r\r\n")
                        .map(t -> new ClientInput(t, false));
        Arbitrary<ClientInput> longs =
                Arbitraries.integers()
                        .between(4097, 20_000)
                        .map(
                                n ->
                                        new ClientInput(
                                                "OPEN %s a c=live,d=500,g="
                                                        + "x".repeat(n)
                                                        + "\r\n",
                                                false));
        Arbitrary<ClientInput> noise =
                Arbitraries.strings()
                        .withCharRange('\u0000', '\u00ff')
                        .ofMinLength(1)
                        .ofMaxLength(300)
                        .filter(s -> !s.startsWith("PING"))
                        .map(s -> new ClientInput(s.replace("%", "") + "\r\n", false));
        return Arbitraries.frequencyOf(
                net.jqwik.api.Tuple.of(3, good),
                net.jqwik.api.Tuple.of(4, wrong),
                net.jqwik.api.Tuple.of(2, words),
                net.jqwik.api.Tuple.of(2, marks),
                net.jqwik.api.Tuple.of(2, ends),
                net.jqwik.api.Tuple.of(1, longs),
                net.jqwik.api.Tuple.of(3, noise));
    }

    @Property(
            tries = 10_000,
            seed = "41",
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void forwardsOnlyWellFormedOpenRequests(@ForAll("openings") ClientInput sent) throws Exception {
        if (++attempts == 500) {
            baselineHeapBytes = usedHeapBytes();
        }
        String id = Long.toHexString(++lastId);
        InetSocketAddress at = relay.address();
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setSoTimeout(10_000);
            boolean whole = true;
            try {
                s.getOutputStream()
                        .write(sent.text.replace("%s", id).getBytes(StandardCharsets.ISO_8859_1));
                whole = sent.text.indexOf('\n') >= 0;
                String answer =
                        whole
                                ? new BufferedReader(
                                                new InputStreamReader(
                                                        s.getInputStream(), LineCodec.CHARSET))
                                        .readLine()
                                : null;
                if (sent.wellFormed) {
                    assertTrue(
                            answer != null && (answer.equals("UP r1") || answer.startsWith("BUSY")),
                            answer);
                } else if (whole) {
                    assertTrue(answer == null || answer.equals(LineCodec.ERR), answer);
                }
            } catch (SocketException e) {
                assertEquals(false, sent.wellFormed, "a well-formed request was cut off");
            }
        }
        if (!sent.wellFormed) {
            MALFORMED_IDS.add(id);
        }
    }
}
