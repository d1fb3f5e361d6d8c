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
                        Socket socket = backend.accept();
                        threads.submit(() -> serveBackend(socket));
                    }
                });
        Map<String, Object> server =
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
                                        Map.of("seq", 1, "whole", true, "hosts", List.of(server)),
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

    private static Void serveBackend(Socket socket) throws IOException {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.startsWith("OPEN")) {
                    FORWARDED_IDS.add(line.split(" ", -1)[1]);
                }
                socket.getOutputStream()
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
        long remaining = Long.MAX_VALUE;
        for (int i = 0; i < 100 && remaining > 2; i++) {
            Thread.sleep(50);
            remaining = readOnEventLoop(registry -> (long) registry.sockets + registry.held());
        }
        long finalRemaining = remaining;
        assertTrue(finalRemaining <= 2, "sockets and tunnels left: " + finalRemaining);
        MALFORMED_IDS.retainAll(FORWARDED_IDS);
        assertEquals(Set.of(), MALFORMED_IDS, "reached a backend though malformed");
        assertTrue(
                readOnEventLoop(registry -> registry.counterValue("opened")) > 100,
                "well-formed requests open tunnels");
        long heapBytes = usedHeapBytes();
        assertTrue(
                heapBytes - baselineHeapBytes < MAX_HEAP_GROWTH_BYTES,
                "the heap grew by " + (heapBytes - baselineHeapBytes));
        relay.kill();
        backend.close();
        threads.shutdownNow();
        LOGGER.setLevel(null);
    }

    private static long readOnEventLoop(
            java.util.function.ToLongFunction<asterpulley.net.TunnelRegistry> function)
            throws Exception {
        CompletableFuture<Long> result = new CompletableFuture<>();
        relay.readCounters(registry -> result.complete(function.applyAsLong(registry)));
        return result.get(20, TimeUnit.SECONDS);
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    @Provide
    Arbitrary<ClientInput> clientInputs() {
        Arbitrary<String> key =
                Arbitraries.strings()
                        .withChars("0123456789abcdefABCDEF")
                        .ofMinLength(1)
                        .ofMaxLength(32);
        Arbitrary<Integer> timeout = Arbitraries.integers().between(500, 3000);
        Arbitrary<String> extraPairs =
                Arbitraries.of("", ",g=5c", ",r=1", ",again=1", ",h=0.3,x=y", ",note=a=b");
        Arbitrary<ClientInput> valid =
                Combinators.combine(key, timeout, extraPairs)
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
        Arbitrary<String> invalidPairs =
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
        Arbitrary<ClientInput> invalid =
                Combinators.combine(key, invalidPairs)
                        .as((k, p) -> new ClientInput("OPEN %s " + k + " " + p + "\r\n", false));
        Arbitrary<ClientInput> badCommands =
                Combinators.combine(
                                Arbitraries.of(
                                        "open", "OPEN ", " OPEN", "OPENED", "GET", "MOVE", "UP", "",
                                        "STATS", "PONG", "BUSY", "OPEN\t"),
                                key)
                        .as((w, k) -> new ClientInput(w + " %s " + k + " c=live,d=500\r\n", false));
        Arbitrary<ClientInput> badIds =
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
        Arbitrary<ClientInput> badLineEnds =
                Arbitraries.of(
                                "OPEN %s a c=live,d=500\n",
                                "OPEN %s a c=live,d=500\r\nOPEN",
                                "OPEN %s a c=live,d=500\r\nm 1\r\n",
                                "OPEN %s a c=live,d=500",
                                "OPEN %s a",
                                "OPEN %s a c=live,d=500\r",
                                "OPEN %s a c=live,d=500\r\r\n")
                        .map(t -> new ClientInput(t, false));
        Arbitrary<ClientInput> overlong =
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
                        .filter(text -> !text.startsWith("PING"))
                        .map(text -> new ClientInput(text.replace("%", "") + "\r\n", false));
        return Arbitraries.frequencyOf(
                net.jqwik.api.Tuple.of(3, valid),
                net.jqwik.api.Tuple.of(4, invalid),
                net.jqwik.api.Tuple.of(2, badCommands),
                net.jqwik.api.Tuple.of(2, badIds),
                net.jqwik.api.Tuple.of(2, badLineEnds),
                net.jqwik.api.Tuple.of(1, overlong),
                net.jqwik.api.Tuple.of(3, noise));
    }

    @Property(
            tries = 10_000,
            seed = "41",
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void forwardsOnlyWellFormedOpenRequests(@ForAll("clientInputs") ClientInput input)
            throws Exception {
        if (++attempts == 500) {
            baselineHeapBytes = usedHeapBytes();
        }
        String id = Long.toHexString(++lastId);
        InetSocketAddress address = relay.address();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            boolean isLine = true;
            try {
                socket.getOutputStream()
                        .write(input.text.replace("%s", id).getBytes(StandardCharsets.ISO_8859_1));
                isLine = input.text.indexOf('\n') >= 0;
                String answer =
                        isLine
                                ? new BufferedReader(
                                                new InputStreamReader(
                                                        socket.getInputStream(), LineCodec.CHARSET))
                                        .readLine()
                                : null;
                if (input.wellFormed) {
                    assertTrue(
                            answer != null && (answer.equals("UP r1") || answer.startsWith("BUSY")),
                            answer);
                } else if (isLine) {
                    assertTrue(answer == null || answer.equals(LineCodec.ERR), answer);
                }
            } catch (SocketException e) {
                assertEquals(false, input.wellFormed, "a well-formed request was cut off");
            }
        }
        if (!input.wellFormed) {
            MALFORMED_IDS.add(id);
        }
    }
}
