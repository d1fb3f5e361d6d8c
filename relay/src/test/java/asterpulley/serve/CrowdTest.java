package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * More idle clients than the relay has descriptors: the list is still heard, and whoever says its
 * line is served.
 */
@Timeout(60)
class CrowdTest extends RelayStage {
    private static final int IDLE = 200, CLIENTS = 12;

    /** A change of the list counts as told by then, from where discovery could be reached again. */
    private static final double TOLD = 6;

    /**
     * Idle clients: each connects, says nothing, and comes again soon after it was shut. One thread
     * plays them all.
     */
    private final class Crowd implements AutoCloseable {
        private static final long COMES_AGAIN = 50_000_000;
        private final AtomicInteger shut = new AtomicInteger();
        private final Selector selector = Selector.open();
        private final InetSocketAddress relay;
        private volatile boolean over;

        Crowd(InetSocketAddress relay, int count) throws IOException {
            this.relay = relay;
            open.add(this);
            background(() -> play(count));
        }

        private void play(int count) throws IOException {
            ArrayDeque<Long> due = new ArrayDeque<>();
            IntStream.range(0, count).forEach(i -> due.add(System.nanoTime()));
            while (!over) {
                for (; !due.isEmpty() && due.peek() <= System.nanoTime(); due.poll()) {
                    SocketChannel idle = SocketChannel.open();
                    idle.configureBlocking(false);
                    idle.register(
                            selector,
                            idle.connect(relay) ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
                }
                selector.select(10);
                for (SelectionKey key : selector.selectedKeys()) {
                    if (isShut(key)) {
                        shut.incrementAndGet();
                        key.channel().close();
                        due.add(System.nanoTime() + COMES_AGAIN);
                    }
                }
                selector.selectedKeys().clear();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        }

        private boolean isShut(SelectionKey key) {
            SocketChannel idle = (SocketChannel) key.channel();
            try {
                if (key.isConnectable()) {
                    idle.finishConnect();
                    key.interestOps(SelectionKey.OP_READ);
                    return false;
                }
                return idle.read(ByteBuffer.allocate(64)) < 0;
            } catch (IOException reset) {
                return true;
            }
        }

        /** There are more than the relay takes: some were shut already. */
        void fills() throws InterruptedException {
            for (long until = System.nanoTime() + 5_000_000_000L;
                    shut.get() == 0 && System.nanoTime() < until; ) {
                Thread.sleep(1);
            }
        }

        @Override
        public void close() {
            over = true;
            selector.wakeup();
        }
    }

    /** A backend that opens whatever comes, and ends each tunnel as its client does. */
    private Backend opening() throws IOException {
        Backend b = new Backend();
        background(
                () -> {
                    while (true) {
                        End end = b.opens();
                        background(
                                () -> {
                                    end.line();
                                    end.close();
                                });
                    }
                });
        return b;
    }

    /** What so many clients that say their line at once are told, one after the other. */
    private List<String> answers(InetSocketAddress relay, int count) {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try (End client = client(relay, "chat", 2000)) {
                client.socket.setSoTimeout(2500);
                answers.add(client.line());
            } catch (IOException e) {
                answers.add(e.getMessage());
            }
        }
        return answers;
    }

    /**
     * Discovery comes back, and has a change to tell: how long that takes to be asked for, in
     * seconds.
     */
    private double heard(int port, String... entries) throws Exception {
        long back = System.nanoTime();
        registry = new Registry(port);
        registry.tells(42, entries);
        assertTrue(registry.calls.poll(20, TimeUnit.SECONDS) != null, "it calls again");
        String next = registry.calls.poll(20, TimeUnit.SECONDS);
        assertEquals("/registry/instances?index=42&wait=10000", next, "the change was read");
        return (System.nanoTime() - back) / 1e9;
    }

    private int sockets() throws Exception {
        CompletableFuture<Integer> got = new CompletableFuture<>();
        serve.readCounters(book -> got.complete(book.sockets));
        return got.get(20, TimeUnit.SECONDS);
    }

    @Test
    void whoSaysItsLineIsServedAndTheListIsHeardHoweverManyAreIdle() throws Exception {
        Backend one = opening();
        Backend two = opening();
        start(config(64, one.entry("s1", "up")));
        registry.calls.take();
        registry.down();
        await("list_failures", 1);
        Crowd crowd = new Crowd(serve.address(), IDLE);
        crowd.fills();
        List<String> all = new ArrayList<>(answers(serve.address(), CLIENTS));
        assertEquals(
                CLIENTS,
                all.stream().filter("UP r1"::equals).count(),
                "while discovery is down: " + all);
        double heard =
                heard(
                        registry.listening.getLocalPort(),
                        one.entry("s1", "draining"),
                        two.entry("s2", "up"));
        assertTrue(heard < TOLD, "heard after " + heard);
        one.openings.clear();
        all = answers(serve.address(), CLIENTS);
        assertEquals(
                CLIENTS, all.stream().filter("UP r1"::equals).count(), "after its return: " + all);
        assertEquals(List.of(), List.copyOf(one.openings), "by the list as it is now");
        assertEquals(0, counted("declined_no_sockets"));
    }

    @Test
    void aMachineThatGivesFewerDescriptorsThanToldStopsNobody() throws Exception {
        Backend one = opening();
        Backend two = opening();
        config(100, one.entry("s1", "up"));
        registry.down();
        Path log = folder.resolve("log");
        ProcessBuilder run = process(folder.resolve("config.json"), log);
        List<String> words =
                new ArrayList<>(List.of("sh", "-c", "ulimit -n 50; exec \"$@\"", "sh"));
        words.addAll(run.command());
        Process relay = run.command(words).start();
        open.add(relay::destroyForcibly);
        Matcher serving = told(log, relay, "serving n1 at 127.0.0.1:(\\d+)");
        InetSocketAddress at =
                new InetSocketAddress("127.0.0.1", Integer.parseInt(serving.group(1)));
        // Its classes are files here, which need descriptors as well: all that are needed are
        // loaded before.
        assertEquals(List.of("UP r1"), answers(at, 1));
        Crowd crowd = new Crowd(at, IDLE);
        crowd.fills();
        List<String> all = answers(at, CLIENTS);
        assertEquals(
                CLIENTS,
                all.stream().filter("UP r1"::equals).count(),
                "while discovery is down: " + all);
        double heard =
                heard(
                        registry.listening.getLocalPort(),
                        one.entry("s1", "draining"),
                        two.entry("s2", "up"));
        assertTrue(heard < TOLD, "heard after " + heard);
        one.openings.clear();
        all = answers(at, CLIENTS);
        assertEquals(
                CLIENTS, all.stream().filter("UP r1"::equals).count(), "after its return: " + all);
        assertEquals(List.of(), List.copyOf(one.openings), "by the list as it is now");
        new ProcessBuilder("kill", "-USR1", Long.toString(relay.pid())).start().waitFor();
        int refused = Integer.parseInt(told(log, relay, " accepts_refused=(\\d+)").group(1));
        assertTrue(
                refused < 50, "the refusals of the machine are not met in every round: " + refused);
    }

    private static Matcher told(Path log, Process relay, String line) throws Exception {
        while (true) {
            Matcher told = Pattern.compile(line).matcher(Files.readString(log));
            if (told.find()) {
                return told;
            }
            assertTrue(relay.isAlive(), Files.readString(log));
            Thread.sleep(5);
        }
    }

    @Test
    void whatIsYetToBeDialledKeepsItsSocketsFromWhoIsIdle() throws Exception {
        Backend b = new Backend();
        Gate gate = new Gate();
        // Setups that do not come up, and more of them than may be out at once; 24 sockets, and 4
        // of them never for the idle.
        start(
                config(
                        told ->
                                told.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":9000")
                                        .replace(
                                                "\"clientTimeoutMs\":3000",
                                                "\"clientTimeoutMs\":9000")
                                        .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":9000")
                                        .replace("\"probes\":true", "\"probes\":false"),
                        64,
                        gate.in(b, "s1")));
        for (int i = 0; i < 6; i++) {
            client("chat", 9000);
        }
        await("taken", 6);
        long out = counted("setups");
        assertTrue(out < 4, "the others wait for the window: " + out);
        for (int i = 0; i < 30; i++) {
            connect();
        }
        await("accepted", 36);
        int used = sockets();
        assertTrue(used + 6 - out <= 20, "in use " + used + ", yet to be dialled " + (6 - out));
    }

    @Test
    void whoIsIdleGivesWayToSetupsAndSeeks() throws Exception {
        Backend b = new Backend();
        Backend[] others = new Backend[12];
        start(config(64, b.entry("s1", "up")));
        await("probes_answered", 1);
        for (int i = 0; i < others.length; i++) {
            others[i] = new Backend();
        }
        for (int i = 0; i < 30; i++) {
            connect();
        }
        await("accepted", 30);
        registry.tells(
                42,
                IntStream.range(0, others.length)
                        .mapToObj(i -> others[i].entry("t" + i, "up"))
                        .toArray(String[]::new));
        await("probes", 1 + others.length);
        int used = sockets();
        assertTrue(used <= 24, "no more than there are: " + used);
    }

    @Test
    void connectionsKeptForSeeksGiveWayToWhoSaysItsLine() throws Exception {
        String[] entries = new String[20];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = opening().entry("s" + i, "up");
        }
        start(config(64, entries));
        await("probes_answered", entries.length);
        List<String> all = answers(serve.address(), CLIENTS);
        assertEquals(CLIENTS, all.stream().filter("UP r1"::equals).count(), all.toString());
        new Crowd(serve.address(), IDLE).fills();
        all = answers(serve.address(), 4);
        assertEquals(4, all.stream().filter("UP r1"::equals).count(), "among idle ones: " + all);
        int used = sockets();
        assertTrue(used <= 24, "no more than there are: " + used);
    }
}
