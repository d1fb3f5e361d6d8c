package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests on loopback sockets: runs a relay and simulates its clients, backends and
 * discovery.
 */
abstract class RelayFixture {
    static final String OPEN_REQUEST_FORMAT = "OPEN %x 7f3a c=%s,t=acme,d=%d,g=5c0f";
    private static final long BLOCK_INTERVAL_MS = 50;
    final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());
    private final Map<ServerSocket, Thread> acceptors = new ConcurrentHashMap<>();
    @TempDir Path folder;

    // ---- Simulated peers

    /**
     * The test's end of a connection, read in lines or in bytes. Reads block until the data
     * arrives, up to 20 s.
     */
    static final class TestConnection implements AutoCloseable {
        final Socket socket;
        final InputStream input;

        TestConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(20_000);
            input = socket.getInputStream();
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Returns the next line without its line end, or null at the end of the connection. */
        String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = input.read(); b != '\n'; b = input.read()) {
                if (b < 0) {
                    return line.size() == 0 ? null : line + " (cut off)";
                }
                line.write(b);
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            assertTrue(text.endsWith("\r"), text);
            return text.substring(0, text.length() - 1);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * A backend that answers probes by itself and hands every connection with an open request to
     * the test.
     */
    final class Backend {
        final ServerSocket serverSocket;
        final BlockingQueue<TestConnection> tunnelConnections = new LinkedBlockingQueue<>();
        final BlockingQueue<String> openRequests = new LinkedBlockingQueue<>();
        volatile String loadReport = "x0=0.1,rif=1,busy=0.1";

        /** Closes a probe connection at the second probe on it, without an answer. */
        volatile boolean closesAfterProbe;

        private final Set<TestConnection> probeConnections = ConcurrentHashMap.newKeySet();

        /** Permits for answers to probes; a probe without one waits. */
        final Semaphore probeAnswerPermits = new Semaphore(Integer.MAX_VALUE / 2);

        volatile int probeCount;

        Backend() throws IOException {
            serverSocket = listen(this::serve);
        }

        private void serve(TestConnection connection) throws Exception {
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                if (!line.equals("STATS")) {
                    openRequests.add(line);
                    tunnelConnections.add(connection);
                    return;
                }
                probeCount++;
                probeConnections.add(connection);
                probeAnswerPermits.acquire();
                connection.send("PONG " + loadReport + "\r\n");
                if (closesAfterProbe) {
                    connection.readLine();
                    connection.close();
                    return;
                }
            }
        }

        /** Closes all probe connections, as if they had been idle. */
        void closeProbeConnections() throws IOException {
            for (TestConnection connection : probeConnections) {
                probeConnections.remove(connection);
                connection.close();
            }
        }

        String address() {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        }

        String listEntry(String host, String health) {
            return ("{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"m\",\"block\":0,"
                            + "\"health\":\"%s\",\"born_ms\":0}")
                    .formatted(host, address(), health);
        }

        TestConnection awaitTunnel() throws InterruptedException {
            return tunnelConnections.take();
        }

        /** Opens every tunnel from now on, in the background. */
        void openAllTunnels() {
            runInBackground(
                    () -> {
                        while (true) {
                            openNextTunnel();
                        }
                    });
        }

        /** Waits for the next tunnel and opens it. */
        TestConnection openNextTunnel() throws IOException, InterruptedException {
            TestConnection connection = awaitTunnel();
            connection.send("UP r1\r\n");
            return connection;
        }
    }

    /** A discovery service whose requests wait until the test provides a response. */
    final class StubDiscovery {
        final ServerSocket serverSocket;
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

        private final Set<TestConnection> connections = ConcurrentHashMap.newKeySet();

        StubDiscovery() throws IOException {
            this(0);
        }

        /** Listens on {@code port}, where an earlier instance was shut down. */
        StubDiscovery(int port) throws IOException {
            serverSocket = listen(port, this::serve);
        }

        /**
         * Closes all connections and refuses new ones until another instance listens on the port.
         */
        void shutDown() throws IOException {
            stopListening(serverSocket);
            for (TestConnection connection : connections) {
                connection.close();
            }
        }

        private void serve(TestConnection connection) throws Exception {
            connections.add(connection);
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                if (line.startsWith("GET ")) {
                    requests.add(line.split(" ")[1]);
                } else if (line.isEmpty()) {
                    String response = responses.take();
                    connection.send(response);
                    if (!response.contains(" 200 ")) {
                        connection.close();
                        return;
                    }
                }
            }
        }

        void publish(int version, String... entries) {
            publish(version, false, entries);
        }

        void publish(int version, boolean wholeList, String... entries) {
            String body =
                    "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}"
                            .formatted(version, wholeList, String.join(",", entries));
            responses.add(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(body.length(), body));
        }
    }

    /**
     * A listener whose backlog is full: a connection to it is neither established nor refused. Once
     * there is room, it is established with the kernel's next SYN, a second after the first, as a
     * late connection is.
     */
    final class SaturatedListener {
        final ServerSocket serverSocket;
        private final Set<Integer> fillerPorts = new HashSet<>();

        SaturatedListener() throws IOException {
            this(1);
        }

        /**
         * Creates a listener with this backlog, which is how many connections are established
         * together once they are accepted.
         */
        SaturatedListener(int backlog) throws IOException {
            serverSocket = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
            serverSocket.setSoTimeout(20_000);
            resources.add(serverSocket);
            for (boolean hasRoom = true; hasRoom; ) {
                Socket filler = new Socket();
                resources.add(filler);
                try {
                    filler.connect(serverSocket.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException e) {
                    hasRoom = false;
                }
                fillerPorts.add(filler.getLocalPort());
            }
        }

        /** Returns the list entry of {@code backend}, but with this listener's address. */
        String listEntry(Backend backend, String host) {
            return backend.listEntry(host, "up").replace(backend.address(), address());
        }

        String address() {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        }

        /** Accepts the next connection, skipping those that filled the backlog. */
        TestConnection acceptNext() throws IOException {
            while (true) {
                TestConnection connection = new TestConnection(serverSocket.accept());
                resources.add(connection);
                if (!fillerPorts.contains(connection.socket.getPort())) {
                    return connection;
                }
            }
        }

        /**
         * Accepts all connections attempted so far that still exist, closes each after its first
         * line, and returns these lines.
         */
        List<String> acceptAllAndReadFirstLines() throws IOException {
            // It connects after them, so it is accepted after them.
            SocketChannel last = SocketChannel.open();
            resources.add(last);
            last.bind(new InetSocketAddress("127.0.0.1", 0));
            last.configureBlocking(false);
            last.connect(serverSocket.getLocalSocketAddress());
            int port = ((InetSocketAddress) last.getLocalAddress()).getPort();
            List<String> firstLines = new ArrayList<>();
            for (TestConnection connection = acceptNext();
                    connection.socket.getPort() != port;
                    connection = acceptNext()) {
                try {
                    String line = connection.readLine();
                    if (line != null) {
                        firstLines.add(line);
                    }
                } catch (SocketException e) {
                    // It was reset, so it sends nothing more.
                    continue;
                } finally {
                    connection.close();
                }
            }
            return firstLines;
        }
    }

    /**
     * Sends numbered lines in blocks, as a buffered output does. Each block ends in the middle of a
     * line, which the next block completes.
     */
    static void streamInBlocks(TestConnection connection) {
        runInBackground(
                () -> {
                    for (int number = 0; ; number += 2) {
                        connection.send(
                                (number == 0 ? "" : "ing " + (number - 1) + "\r\n")
                                        + ("reading " + number + "\r\nread"));
                        Thread.sleep(BLOCK_INTERVAL_MS);
                    }
                });
    }

    /**
     * The client, which has had the first line, gets every further one, then {@code MOVE} as a line
     * of its own, then the end.
     */
    static void assertMovedBetweenLines(TestConnection client) throws IOException {
        String line = client.readLine();
        for (int number = 1; line != null && line.startsWith("read"); number++) {
            assertEquals("reading " + number, line);
            line = client.readLine();
        }
        assertEquals("MOVE", line);
        assertNull(client.readLine());
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    interface ConnectionHandler {
        void serve(TestConnection connection) throws Exception;
    }

    ServerSocket listen(ConnectionHandler handler) throws IOException {
        return listen(0, handler);
    }

    ServerSocket listen(int port, ConnectionHandler handler) throws IOException {
        ServerSocket serverSocket = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        resources.add(serverSocket);
        Thread acceptor =
                runInBackground(
                        () -> {
                            while (true) {
                                TestConnection connection =
                                        new TestConnection(serverSocket.accept());
                                resources.add(connection);
                                runInBackground(() -> handler.serve(connection));
                            }
                        });
        acceptors.put(serverSocket, acceptor);
        return serverSocket;
    }

    /**
     * Closes a listener for good: while its thread is still in {@code accept}, the kernel goes on
     * taking connections although {@code close} has returned.
     */
    void stopListening(ServerSocket serverSocket) throws IOException {
        serverSocket.close();
        try {
            acceptors.get(serverSocket).join();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while a listener ends", e);
        }
    }

    /** Returns the thread in which the task runs. */
    static Thread runInBackground(ThrowingRunnable task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // Connections are closed at the end of a test; what is expected of
                                // them is asserted in the test.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int clientCount;
    StubDiscovery discovery;
    RelayInstance relay;

    Config createConfig(int socketLimit, String... entries) throws IOException {
        return createConfig(json -> json, socketLimit, entries);
    }

    /** Writes a configuration with a new stub discovery. {@code edit} changes its JSON text. */
    Config createConfig(UnaryOperator<String> edit, int socketLimit, String... entries)
            throws IOException {
        discovery = new StubDiscovery();
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                edit.apply(
                        """
                {"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"sockets":%d},"known":{"seq":41,"whole":true,"hosts":[%s]},
                 "settings":{"zones":["a"],"models":["m"],"tenants":[{"name":"acme","share":1}],"siblings":1,
                 "registryMode":"subscribe","profiles":[
                 {"name":"chat","effect":"read_like","clientTimeoutMs":3000,"setupGoalMs":2000},
                 {"name":"pay","effect":"non_idempotent","clientTimeoutMs":3000,"setupGoalMs":2000}],
                 "limits":{"probes":true,"retryAfter":true,"maxRetryAfterMs":1000,"mostSetups":4,"dialTimeoutMs":1000},
                 "rules":{"askEveryMs":10000}}}
                """
                                .formatted(
                                        discovery.serverSocket.getLocalPort(),
                                        socketLimit,
                                        String.join(",", entries))));
        return Config.read(file);
    }

    void startRelay(String... entries) throws IOException {
        startRelay(createConfig(1000, entries));
    }

    void startRelay(Config config) throws IOException {
        relay = new RelayInstance(config, null);
        resources.add(relay::kill);
        relay.open();
    }

    Path stateFolder() throws IOException {
        return Files.createDirectories(folder.resolve("kept"));
    }

    void startWithOperatorApi(String... entries) throws IOException {
        startWithOperatorApi(stateFolder(), entries);
    }

    /**
     * Starts with a discovery that answers the first request at once, as the relay waits for that.
     */
    void startWithOperatorApi(Path stateFolder, String... entries) throws IOException {
        createConfig(1000, entries);
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Files.readString(file)
                        .replace("\"seed\"", "\"operator\":\"127.0.0.1:0\",\"seed\""));
        relay = new RelayInstance(Config.read(file), stateFolder);
        resources.add(relay::kill);
        discovery.publish(41);
        relay.open();
    }

    TestConnection connectOperator() throws IOException {
        TestConnection connection =
                new TestConnection(
                        new Socket(
                                relay.operatorAddress().getAddress(),
                                relay.operatorAddress().getPort()));
        resources.add(connection);
        return connection;
    }

    /** Makes a call to the operators' address and returns the status line. */
    String postToOperatorApi(String path) throws IOException {
        TestConnection connection = connectOperator();
        connection.send(
                "POST /admin/" + path + " HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n");
        return connection.readLine();
    }

    /** Returns a builder for a relay in a process of its own. */
    static ProcessBuilder relayProcessBuilder(Path config, Path log) {
        ProcessBuilder builder =
                new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-XX:+UseSerialGC",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "asterpulley.serve.Main",
                        "serve");
        builder.environment().put("LB_CONFIG", config.toString());
        return builder.redirectErrorStream(true).redirectOutput(log.toFile());
    }

    /** A relay in a process of its own, with a heap as small as operators may give it. */
    final class SmallHeapRelay {
        private static final Pattern SERVING_LINE =
                Pattern.compile("serving n1 at 127\\.0\\.0\\.1:(\\d+)");

        final Process process;
        final InetSocketAddress address;
        private final Path log = folder.resolve("log");

        /**
         * Starts it with the configuration that was written last, and waits until it serves.
         *
         * @param options further options of its JVM
         */
        SmallHeapRelay(int heapMb, String... options) throws Exception {
            ProcessBuilder builder = relayProcessBuilder(folder.resolve("config.json"), log);
            builder.command()
                    .replaceAll(word -> word.startsWith("-Xmx") ? "-Xmx" + heapMb + "m" : word);
            builder.command().add(1, "-XX:+ExitOnOutOfMemoryError");
            builder.command().addAll(1, List.of(options));
            discovery.publish(41);
            process = builder.start();
            resources.add(process::destroyForcibly);
            Matcher serving = SERVING_LINE.matcher(log());
            while (!serving.find()) {
                assertTrue(process.isAlive(), log());
                Thread.sleep(5);
                serving = SERVING_LINE.matcher(log());
            }
            address =
                    new InetSocketAddress(
                            InetAddress.getByName("127.0.0.1"), Integer.parseInt(serving.group(1)));
        }

        String log() throws IOException {
            return Files.readString(log);
        }
    }

    TestConnection connect() throws IOException {
        TestConnection connection =
                new TestConnection(
                        new Socket(relay.address().getAddress(), relay.address().getPort()));
        resources.add(connection);
        return connection;
    }

    TestConnection connectClient(String profile, int clientTimeoutMs) throws IOException {
        return connectClient(relay.address(), profile, clientTimeoutMs);
    }

    TestConnection connectClient(
            InetSocketAddress relayAddress, String profile, int clientTimeoutMs)
            throws IOException {
        TestConnection connection =
                new TestConnection(new Socket(relayAddress.getAddress(), relayAddress.getPort()));
        resources.add(connection);
        connection.send(
                OPEN_REQUEST_FORMAT.formatted(++clientCount, profile, clientTimeoutMs) + "\r\n");
        return connection;
    }

    /**
     * Blocks the relay's event loop until the returned action runs, so that everything that happens
     * meanwhile is handled in one iteration. Returns once the loop is blocked.
     */
    Runnable pauseEventLoop() throws InterruptedException {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        relay.readCounters(
                registry -> {
                    paused.countDown();
                    try {
                        resume.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        paused.await();
        return resume::countDown;
    }

    long counterValue(String name) throws Exception {
        CompletableFuture<Long> result = new CompletableFuture<>();
        relay.readCounters(registry -> result.complete(registry.counterValue(name)));
        return result.get(20, TimeUnit.SECONDS);
    }

    void awaitCounter(String name, long atLeast) throws Exception {
        while (counterValue(name) < atLeast) {
            Thread.yield();
        }
    }

    @AfterEach
    void closeResources() throws Exception {
        for (int i = resources.size() - 1; i >= 0; i--) {
            resources.get(i).close();
        }
    }
}
