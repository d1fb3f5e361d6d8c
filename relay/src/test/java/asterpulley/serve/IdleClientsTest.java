package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
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
 * More idle clients connect than the relay has file descriptors. Guards against a relay that then
 * can neither reach discovery nor backends, so that active clients are declined or routed by an
 * outdated server list.
 */
@Timeout(60)
class IdleClientsTest extends RelayFixture {
    private static final int IDLE_CLIENTS = 200, ACTIVE_CLIENTS = 12;

    /** Descriptors that a relay gets, of the 100 and more that it is configured for. */
    private static final int MAX_DESCRIPTORS = 50;

    /** Seconds after discovery can be reached again by which a relay has to know a list change. */
    private static final double CHANGE_DEADLINE_S = 6;

    /**
     * Idle clients, all run by one thread. Each connects, sends nothing, and reconnects soon after
     * its connection was closed.
     */
    private final class IdleClients implements AutoCloseable {
        private static final long RECONNECT_DELAY_NS = 50_000_000;
        private final AtomicInteger closedCount = new AtomicInteger();
        private final Selector selector = Selector.open();
        private final InetSocketAddress relayAddress;
        private volatile boolean stopped;

        IdleClients(InetSocketAddress relayAddress, int count) throws IOException {
            this.relayAddress = relayAddress;
            resources.add(this);
            runInBackground(() -> runClients(count));
        }

        private void runClients(int count) throws IOException {
            ArrayDeque<Long> reconnectTimes = new ArrayDeque<>();
            IntStream.range(0, count).forEach(i -> reconnectTimes.add(System.nanoTime()));
            while (!stopped) {
                for (;
                        !reconnectTimes.isEmpty() && reconnectTimes.peek() <= System.nanoTime();
                        reconnectTimes.poll()) {
                    SocketChannel channel = SocketChannel.open();
                    channel.configureBlocking(false);
                    channel.register(
                            selector,
                            channel.connect(relayAddress)
                                    ? SelectionKey.OP_READ
                                    : SelectionKey.OP_CONNECT);
                }
                selector.select(10);
                for (SelectionKey key : selector.selectedKeys()) {
                    if (isClosed(key)) {
                        closedCount.incrementAndGet();
                        key.channel().close();
                        reconnectTimes.add(System.nanoTime() + RECONNECT_DELAY_NS);
                    }
                }
                selector.selectedKeys().clear();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        }

        private boolean isClosed(SelectionKey key) {
            SocketChannel channel = (SocketChannel) key.channel();
            try {
                if (key.isConnectable()) {
                    channel.finishConnect();
                    key.interestOps(SelectionKey.OP_READ);
                    return false;
                }
                return channel.read(ByteBuffer.allocate(64)) < 0;
            } catch (IOException reset) {
                return true;
            }
        }

        /**
         * Waits until the relay has closed a connection, that is, until there are more clients than
         * it accepts; gives up after 5 s.
         */
        void awaitFirstClose() throws InterruptedException {
            for (long until = System.nanoTime() + 5_000_000_000L;
                    closedCount.get() == 0 && System.nanoTime() < until; ) {
                Thread.sleep(1);
            }
        }

        @Override
        public void close() {
            stopped = true;
            selector.wakeup();
        }
    }

    /** A backend that opens every tunnel and closes it once its client has closed. */
    private Backend openingBackend() throws IOException {
        Backend backend = new Backend();
        runInBackground(
                () -> {
                    while (true) {
                        TestConnection connection = backend.openNextTunnel();
                        runInBackground(
                                () -> {
                                    connection.readLine();
                                    connection.close();
                                });
                    }
                });
        return backend;
    }

    /**
     * Connects this many clients one after the other, each sending its request at once, and returns
     * their answers.
     */
    private List<String> answers(InetSocketAddress relayAddress, int count) {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try (TestConnection client = connectClient(relayAddress, "chat", 2000)) {
                client.socket.setSoTimeout(2500);
                answers.add(client.readLine());
            } catch (IOException e) {
                answers.add(e.getMessage());
            }
        }
        return answers;
    }

    /**
     * Restarts discovery with a list change and returns the seconds until the relay has read it and
     * asks for the next one.
     */
    private double secondsUntilChangeRead(int port, String... entries) throws Exception {
        long recoveredAt = System.nanoTime();
        discovery = new StubDiscovery(port);
        discovery.publish(42, entries);
        assertTrue(
                discovery.requests.poll(20, TimeUnit.SECONDS) != null,
                "it requests the list again");
        String nextRequest = discovery.requests.poll(20, TimeUnit.SECONDS);
        assertEquals("/registry/instances?index=42&wait=10000", nextRequest, "the change was read");
        return (System.nanoTime() - recoveredAt) / 1e9;
    }

    private int socketCount() throws Exception {
        CompletableFuture<Integer> result = new CompletableFuture<>();
        relay.readCounters(registry -> result.complete(registry.sockets));
        return result.get(20, TimeUnit.SECONDS);
    }

    @Test
    void servesActiveClientsAndReadsListAmongManyIdleOnes() throws Exception {
        Backend one = openingBackend();
        Backend two = openingBackend();
        startRelay(createConfig(64, one.listEntry("s1", "up")));
        discovery.requests.take();
        discovery.shutDown();
        awaitCounter("list_failures", 1);
        IdleClients idleClients = new IdleClients(relay.address(), IDLE_CLIENTS);
        idleClients.awaitFirstClose();
        List<String> allAnswers = new ArrayList<>(answers(relay.address(), ACTIVE_CLIENTS));
        assertEquals(
                ACTIVE_CLIENTS,
                allAnswers.stream().filter("UP r1"::equals).count(),
                "while discovery is down: " + allAnswers);
        double seconds =
                secondsUntilChangeRead(
                        discovery.serverSocket.getLocalPort(),
                        one.listEntry("s1", "draining"),
                        two.listEntry("s2", "up"));
        assertTrue(seconds < CHANGE_DEADLINE_S, "list read after " + seconds);
        one.openRequests.clear();
        allAnswers = answers(relay.address(), ACTIVE_CLIENTS);
        assertEquals(
                ACTIVE_CLIENTS,
                allAnswers.stream().filter("UP r1"::equals).count(),
                "after discovery recovered: " + allAnswers);
        assertEquals(List.of(), List.copyOf(one.openRequests), "by the current list");
        assertEquals(0, counterValue("declined_no_sockets"));
    }

    @Test
    void servesClientsWithFewerDescriptorsThanConfigured() throws Exception {
        Backend one = openingBackend();
        Backend two = openingBackend();
        createConfig(100, one.listEntry("s1", "up"));
        discovery.shutDown();
        Path log = folder.resolve("log");
        Process relayProcess = startWithDescriptors(MAX_DESCRIPTORS, log);
        Matcher serving = awaitLogLine(log, relayProcess, "serving n1 at 127.0.0.1:(\\d+)");
        InetSocketAddress relayAddress =
                new InetSocketAddress("127.0.0.1", Integer.parseInt(serving.group(1)));
        // The relay loads its classes from files, which need descriptors too: one request loads all
        // that are needed.
        assertEquals(List.of("UP r1"), answers(relayAddress, 1));
        IdleClients idleClients = new IdleClients(relayAddress, IDLE_CLIENTS);
        idleClients.awaitFirstClose();
        List<String> allAnswers = answers(relayAddress, ACTIVE_CLIENTS);
        assertEquals(
                ACTIVE_CLIENTS,
                allAnswers.stream().filter("UP r1"::equals).count(),
                "while discovery is down: " + allAnswers);
        double seconds =
                secondsUntilChangeRead(
                        discovery.serverSocket.getLocalPort(),
                        one.listEntry("s1", "draining"),
                        two.listEntry("s2", "up"));
        assertTrue(seconds < CHANGE_DEADLINE_S, "list read after " + seconds);
        one.openRequests.clear();
        allAnswers = answers(relayAddress, ACTIVE_CLIENTS);
        assertEquals(
                ACTIVE_CLIENTS,
                allAnswers.stream().filter("UP r1"::equals).count(),
                "after discovery recovered: " + allAnswers);
        assertEquals(List.of(), List.copyOf(one.openRequests), "by the current list");
        new ProcessBuilder("kill", "-USR1", Long.toString(relayProcess.pid())).start().waitFor();
        int refusedAccepts =
                Integer.parseInt(
                        awaitLogLine(log, relayProcess, " accepts_refused=(\\d+)").group(1));
        assertTrue(
                refusedAccepts < 50,
                "accept failures do not recur in every loop iteration: " + refusedAccepts);
    }

    /**
     * Guards against a client that is declined since there was no descriptor for the connection to
     * its server, while idle clients held some.
     */
    @Test
    void idleClientsMakeRoomForASetupThatFindsNoDescriptor() throws Exception {
        Backend backend = openingBackend();
        createConfig(
                json -> json.replace("\"probes\":true", "\"probes\":false"),
                200,
                backend.listEntry("s1", "up"));
        discovery.shutDown();
        Path log = folder.resolve("log");
        Process relayProcess = startWithDescriptors(MAX_DESCRIPTORS, log);
        Matcher serving = awaitLogLine(log, relayProcess, "serving n1 at 127.0.0.1:(\\d+)");
        InetSocketAddress relayAddress =
                new InetSocketAddress("127.0.0.1", Integer.parseInt(serving.group(1)));
        assertEquals(List.of("UP r1"), answers(relayAddress, 1));
        // The client gets the last descriptor, so that there is none for its setup.
        int served = 0;
        for (int free = 1; free <= 3; free++) {
            List<TestConnection> idle = new ArrayList<>();
            int open = openDescriptors(relayProcess);
            while (open < MAX_DESCRIPTORS - free) {
                idle.add(new TestConnection(new Socket("127.0.0.1", relayAddress.getPort())));
                open = awaitOtherDescriptors(relayProcess, open);
            }
            List<String> answers = answers(relayAddress, 1);
            assertEquals(List.of("UP r1"), answers, free + " free, " + Files.readString(log));
            served++;
            for (TestConnection connection : idle) {
                connection.close();
            }
        }
        assertEquals(3, served);
        new ProcessBuilder("kill", "-USR1", Long.toString(relayProcess.pid())).start().waitFor();
        awaitLogLine(log, relayProcess, " dials_without_socket=([1-9])");
    }

    /** Waits until the relay has accepted the connection, or closed another for it. */
    private static int awaitOtherDescriptors(Process process, int before) throws Exception {
        int open = openDescriptors(process);
        for (long end = System.nanoTime() + 500_000_000;
                open == before && System.nanoTime() < end; ) {
            Thread.sleep(1);
            open = openDescriptors(process);
        }
        return open;
    }

    private static int openDescriptors(Process process) throws IOException {
        try (var descriptors = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return (int) descriptors.count();
        }
    }

    private Process startWithDescriptors(int descriptors, Path log) throws IOException {
        ProcessBuilder builder = relayProcessBuilder(folder.resolve("config.json"), log);
        List<String> command =
                new ArrayList<>(
                        List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh"));
        command.addAll(builder.command());
        Process relayProcess = builder.command(command).start();
        resources.add(relayProcess::destroyForcibly);
        return relayProcess;
    }

    private static Matcher awaitLogLine(Path log, Process relayProcess, String pattern)
            throws Exception {
        while (true) {
            Matcher matcher = Pattern.compile(pattern).matcher(Files.readString(log));
            if (matcher.find()) {
                return matcher;
            }
            assertTrue(relayProcess.isAlive(), Files.readString(log));
            Thread.sleep(5);
        }
    }

    @Test
    void reservesSocketsForPendingSetups() throws Exception {
        Backend backend = new Backend();
        SaturatedListener saturated = new SaturatedListener();
        // More setups than the setup window allows at once, and none connects. The relay has 24
        // sockets, 4 of which idle clients never get.
        startRelay(
                createConfig(
                        json ->
                                json.replace("\"setupGoalMs\":2000", "\"setupGoalMs\":9000")
                                        .replace(
                                                "\"clientTimeoutMs\":3000",
                                                "\"clientTimeoutMs\":9000")
                                        .replace("\"dialTimeoutMs\":1000", "\"dialTimeoutMs\":9000")
                                        .replace("\"probes\":true", "\"probes\":false"),
                        64,
                        saturated.listEntry(backend, "s1")));
        for (int i = 0; i < 6; i++) {
            connectClient("chat", 9000);
        }
        awaitCounter("taken", 6);
        long setupCount = counterValue("setups");
        assertTrue(setupCount < 4, "the others wait for the setup window: " + setupCount);
        for (int i = 0; i < 30; i++) {
            connect();
        }
        awaitCounter("accepted", 36);
        int usedSockets = socketCount();
        assertTrue(
                usedSockets + 6 - setupCount <= 20,
                "in use " + usedSockets + ", yet to be connected " + (6 - setupCount));
    }

    @Test
    void idleClientsGiveWayToSetupsAndProbes() throws Exception {
        Backend backend = new Backend();
        Backend[] newBackends = new Backend[12];
        startRelay(createConfig(64, backend.listEntry("s1", "up")));
        awaitCounter("probes_answered", 1);
        for (int i = 0; i < newBackends.length; i++) {
            newBackends[i] = new Backend();
        }
        for (int i = 0; i < 30; i++) {
            connect();
        }
        awaitCounter("accepted", 30);
        discovery.publish(
                42,
                IntStream.range(0, newBackends.length)
                        .mapToObj(i -> newBackends[i].listEntry("t" + i, "up"))
                        .toArray(String[]::new));
        awaitCounter("probes", 1 + newBackends.length);
        int usedSockets = socketCount();
        assertTrue(usedSockets <= 24, "at most the available sockets: " + usedSockets);
    }

    @Test
    void idleProbeConnectionsGiveWayToActiveClients() throws Exception {
        String[] entries = new String[20];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = openingBackend().listEntry("s" + i, "up");
        }
        startRelay(createConfig(64, entries));
        awaitCounter("probes_answered", entries.length);
        List<String> allAnswers = answers(relay.address(), ACTIVE_CLIENTS);
        assertEquals(
                ACTIVE_CLIENTS,
                allAnswers.stream().filter("UP r1"::equals).count(),
                allAnswers.toString());
        new IdleClients(relay.address(), IDLE_CLIENTS).awaitFirstClose();
        allAnswers = answers(relay.address(), 4);
        assertEquals(
                4,
                allAnswers.stream().filter("UP r1"::equals).count(),
                "among idle ones: " + allAnswers);
        int usedSockets = socketCount();
        assertTrue(usedSockets <= 24, "at most the available sockets: " + usedSockets);
    }
}
