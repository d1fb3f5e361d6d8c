package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Replaces a relay while it serves, as operators do: two processes share one client address. Guards
 * against connections that are lost in the change, and against cordons that the new process does
 * not know.
 */
@Timeout(120)
class UpgradeTest extends RelayFixture {
    private int clientPort;
    private UnaryOperator<String> configEdit = json -> json;

    /** A relay process and its operator address. */
    private final class RelayProcess implements AutoCloseable {
        final Process process;
        final int operatorPort;
        final Path logFile;

        RelayProcess(Backend... backends) throws IOException {
            operatorPort = freePort();
            Path config = folder.resolve("config-" + operatorPort + ".json");
            List<String> entries = new ArrayList<>();
            for (int index = 0; index < backends.length; index++) {
                entries.add(backends[index].listEntry("s" + (index + 1), "up"));
            }
            createConfig(1000, entries.toArray(String[]::new));
            Files.writeString(
                    config,
                    configEdit
                            .apply(Files.readString(folder.resolve("config.json")))
                            .replace(
                                    "127.0.0.1:0\"",
                                    "127.0.0.1:"
                                            + clientPort
                                            + "\",\"operator\":\"127.0.0.1:"
                                            + operatorPort
                                            + "\""));
            discovery.publish(41);
            logFile = folder.resolve("log-" + operatorPort);
            ProcessBuilder builder = relayProcessBuilder(config, logFile);
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.start();
            resources.add(this);
        }

        /** Waits until its health check succeeds. */
        RelayProcess awaitReady() throws Exception {
            while (call("GET", "health") != 200) {
                assertTrue(process.isAlive(), Files.readString(logFile));
                Thread.sleep(5);
            }
            return this;
        }

        /** Returns the HTTP status, or 0 if nobody answers. */
        int call(String method, String path) {
            try (TestConnection connection =
                    new TestConnection(new Socket("127.0.0.1", operatorPort))) {
                connection.send(
                        method
                                + " /admin/"
                                + path
                                + " HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n");
                return Integer.parseInt(connection.readLine().split(" ")[1]);
            } catch (IOException e) {
                return 0;
            }
        }

        long metric(String name) throws IOException {
            try (TestConnection connection =
                    new TestConnection(new Socket("127.0.0.1", operatorPort))) {
                connection.send("GET /admin/stats HTTP/1.1\r\nHost: d\r\n\r\n");
                return new String(connection.input.readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.startsWith("relay_" + name + " "))
                        .map(line -> Long.parseLong(line.split(" ")[1]))
                        .findFirst()
                        .orElseThrow();
            }
        }

        /** Sends SIGTERM and waits for the graceful shutdown. */
        void terminate() throws Exception {
            process.destroy();
            assertTrue(process.waitFor(6, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue(), Files.readString(logFile));
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    private Backend echoBackend() throws IOException {
        Backend backend = new Backend();
        runInBackground(
                () -> {
                    while (true) {
                        TestConnection connection = backend.openNextTunnel();
                        runInBackground(
                                () -> {
                                    for (String line = connection.readLine();
                                            line != null;
                                            line = connection.readLine()) {
                                        connection.send(line + "\r\n");
                                    }
                                    connection.close();
                                });
                    }
                });
        return backend;
    }

    /**
     * Sends one client's open request; returns what went wrong, or {@code null} if it was answered.
     */
    private String failureOfOpen(String id) {
        try (Socket socket = new Socket("127.0.0.1", clientPort)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(
                            ("OPEN " + id + " 7f3a c=chat,t=acme,d=2000\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            InputStream input = socket.getInputStream();
            int firstByte = input.read();
            return firstByte == 'U' || firstByte == 'B' ? null : "ended with " + firstByte;
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Test
    void upgradesUnderLoadLoseNoConnection() throws Exception {
        clientPort = freePort();
        Backend backend = echoBackend();
        RelayProcess current = new RelayProcess(backend).awaitReady();
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger ids = new AtomicInteger(), served = new AtomicInteger();
        ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
        List<Thread> clientThreads = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            // Enough at once that some always wait in the listen backlog.
            clientThreads.add(
                    new Thread(
                            () -> {
                                while (!stopped.get()) {
                                    String failure =
                                            failureOfOpen(
                                                    Integer.toHexString(ids.incrementAndGet()));
                                    if (failure == null) {
                                        served.incrementAndGet();
                                    } else {
                                        lost.add(failure);
                                    }
                                }
                            }));
        }
        clientThreads.forEach(Thread::start);
        int upgrades = 3;
        for (int i = 0; i < upgrades; i++) {
            RelayProcess next = new RelayProcess(backend).awaitReady();
            current.terminate();
            assertTrue(
                    Files.readString(current.logFile).contains("another process serves"),
                    Files.readString(current.logFile));
            current = next;
        }
        stopped.set(true);
        for (Thread one : clientThreads) {
            one.join();
        }
        assertTrue(served.get() > 500, "served " + served);
        assertTrue(
                lost.size() <= 2 * upgrades, "of " + served + " lost " + lost.size() + ": " + lost);
    }

    @Test
    void cordonSurvivesUpgradesAndAnyProcessLiftsIt() throws Exception {
        clientPort = freePort();
        Backend one = echoBackend();
        Backend two = echoBackend();
        RelayProcess old = new RelayProcess(one, two).awaitReady();
        assertEquals(200, old.call("POST", "cordon/s1"));
        RelayProcess next = new RelayProcess(one, two).awaitReady();
        assertEquals(
                1, next.metric("members_unavailable"), "known before its health check succeeds");
        assertEquals(200, next.call("POST", "cordon/s2"));
        while (old.metric("members_unavailable") != 2) {
            // The old process polls for cordons that the other has written.
            Thread.sleep(5);
        }
        old.terminate();
        assertEquals(200, next.call("POST", "uncordon/s2"));
        int before = one.openRequests.size();
        for (int i = 0; i < 10; i++) {
            assertEquals(null, failureOfOpen("a" + i));
        }
        assertEquals(before, one.openRequests.size());
        // The server was restarted meanwhile, as the new process's list says; it stays cordoned.
        Backend restarted = echoBackend();
        RelayProcess last = new RelayProcess(restarted, two).awaitReady();
        next.terminate();
        for (int i = 0; i < 10; i++) {
            assertEquals(null, failureOfOpen("c" + i));
        }
        assertEquals(0, restarted.openRequests.size());
        assertEquals(200, last.call("POST", "uncordon/s1"));
        assertEquals(0, last.metric("members_unavailable"));
        for (int i = 0; restarted.openRequests.isEmpty(); i++) {
            assertTrue(i < 200, "it is used again");
            assertEquals(null, failureOfOpen("d" + i));
        }
    }

    /**
     * Guards against a cordon that is lost after its yes, when both processes are called at once.
     */
    @Test
    void cordonsAtBothProcessesAtOnceAreAllKept() throws Exception {
        clientPort = freePort();
        Backend one = echoBackend();
        Backend two = echoBackend();
        Backend three = echoBackend();
        RelayProcess old = new RelayProcess(one, two, three).awaitReady();
        RelayProcess next = new RelayProcess(one, two, three).awaitReady();
        for (int round = 0; round < 30; round++) {
            callAtOnce(old, "cordon/s1", next, "cordon/s2");
            for (RelayProcess process : List.of(old, next)) {
                awaitUnavailable(process, 2);
            }
            callAtOnce(old, "uncordon/s2", next, "uncordon/s1");
            for (RelayProcess process : List.of(old, next)) {
                awaitUnavailable(process, 0);
            }
        }
        callAtOnce(old, "cordon/s1", next, "uncordon/s2");
        RelayProcess last = new RelayProcess(one, two, three).awaitReady();
        assertEquals(1, last.metric("members_unavailable"), "read by the next process");
    }

    private static void callAtOnce(
            RelayProcess first, String firstCall, RelayProcess second, String secondCall)
            throws Exception {
        CyclicBarrier together = new CyclicBarrier(2);
        CompletableFuture<Integer> firstStatus =
                CompletableFuture.supplyAsync(() -> callTogether(together, first, firstCall));
        assertEquals(200, callTogether(together, second, secondCall), secondCall);
        assertEquals(200, firstStatus.get(20, TimeUnit.SECONDS), firstCall);
    }

    private static int callTogether(CyclicBarrier together, RelayProcess process, String call) {
        try {
            together.await();
        } catch (InterruptedException | BrokenBarrierException e) {
            throw new IllegalStateException(e);
        }
        return process.call("POST", call);
    }

    /** A cordon that was confirmed anywhere counts at every process within a second. */
    private static void awaitUnavailable(RelayProcess process, int expected) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while (process.metric("members_unavailable") != expected) {
            assertTrue(System.nanoTime() < deadline, Files.readString(process.logFile));
            Thread.sleep(5);
        }
    }

    /** Guards against a stuck process that keeps the other one from answering and serving. */
    @Test
    void cordonWaitsForAnotherChangeWithoutBlockingTheRelay() throws Exception {
        clientPort = freePort();
        Backend one = echoBackend();
        RelayProcess relayProcess = new RelayProcess(one, echoBackend()).awaitReady();
        Path lockFile = folder.resolve("asterpulley-n1.lock");
        try (FileChannel channel =
                FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            FileLock lock = channel.lock();
            CompletableFuture<Integer> status =
                    CompletableFuture.supplyAsync(() -> relayProcess.call("POST", "cordon/s1"));
            for (int i = 0; i < 10; i++) {
                assertEquals(null, failureOfOpen("a" + i), "serves meanwhile");
            }
            TestConnection impatient =
                    new TestConnection(new Socket("127.0.0.1", relayProcess.operatorPort));
            impatient.send(
                    "POST /admin/cordon/s2 HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n");
            impatient.reset();
            assertEquals(200, relayProcess.call("GET", "health"));
            lock.release();
            assertEquals(200, status.get(20, TimeUnit.SECONDS));
            lock = channel.lock();
            long calledAt = System.nanoTime();
            assertEquals(500, relayProcess.call("POST", "uncordon/s1"), "not done");
            assertTrue(System.nanoTime() - calledAt < TimeUnit.SECONDS.toNanos(1));
            lock.release();
        }
        assertEquals(200, relayProcess.call("POST", "uncordon/s1"));
    }

    /** Guards against a lock that outlives the process which died while it held it. */
    @Test
    void processKilledDuringAChangeLeavesTheFilesUsable() throws Exception {
        clientPort = freePort();
        RelayProcess relayProcess = new RelayProcess(echoBackend(), echoBackend()).awaitReady();
        Process holder =
                new ProcessBuilder(
                                ProcessHandle.current().info().command().orElse("java"),
                                "-cp",
                                System.getProperty("java.class.path"),
                                LockHolder.class.getName(),
                                folder.resolve("asterpulley-n1.lock").toString())
                        .redirectErrorStream(true)
                        .start();
        resources.add(holder::destroyForcibly);
        assertEquals('L', holder.getInputStream().read(), "it holds the lock");
        Path leftover = folder.resolve("asterpulley-n1.cordons." + holder.pid());
        Files.writeString(leftover, "left out by operators, one a line\ns1\n");
        CompletableFuture<Integer> status =
                CompletableFuture.supplyAsync(() -> relayProcess.call("POST", "cordon/s2"));
        holder.destroyForcibly().waitFor();
        assertEquals(200, status.get(20, TimeUnit.SECONDS));
        assertEquals(1, relayProcess.metric("members_unavailable"));
        RelayProcess next = new RelayProcess(echoBackend(), echoBackend()).awaitReady();
        assertEquals(1, next.metric("members_unavailable"));
        assertFalse(Files.exists(leftover), "deleted by the next process");
    }

    /** Holds the lock of the shared files until it is killed. */
    static final class LockHolder {
        private LockHolder() {}

        public static void main(String[] arguments) throws Exception {
            FileChannel channel =
                    FileChannel.open(
                            Path.of(arguments[0]),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            channel.lock();
            System.out.print("L");
            System.out.flush();
            Thread.sleep(TimeUnit.MINUTES.toMillis(2));
        }
    }

    /** Guards against two processes of an upgrade that each spend the budget of one relay. */
    @Test
    void bothProcessesKeepToOneRetryBudget() throws Exception {
        clientPort = freePort();
        configEdit =
                json ->
                        json.replace(
                                "\"askEveryMs\":10000",
                                "\"askEveryMs\":10000,\"budgetFree\":2,\"furtherRatio\":0,\"lookBackMs\":20000");
        Backend[] full = {fullBackend(), fullBackend(), fullBackend()};
        Backend open = echoBackend();
        RelayProcess old = new RelayProcess(full[0], full[1], full[2], open).awaitReady();
        RelayProcess next = new RelayProcess(full[0], full[1], full[2], open).awaitReady();
        int clients = 0;
        for (long end = System.nanoTime() + 4_000_000_000L; System.nanoTime() < end; ) {
            assertEquals(null, failureOfOpen("a" + ++clients));
        }
        Set<String> ids = new HashSet<>();
        int retries = 0;
        for (Backend backend : List.of(full[0], full[1], full[2], open)) {
            for (String request : backend.openRequests) {
                retries += ids.add(request.split(" ")[1]) ? 0 : 1;
            }
        }
        assertTrue(
                next.metric("upstream_requests_total") > 0
                        && old.metric("upstream_requests_total") > 0,
                "both have sent setups");
        assertTrue(retries >= 1 && retries <= 2, retries + " retries of " + clients);
    }

    private Backend fullBackend() throws IOException {
        Backend backend = new Backend();
        runInBackground(
                () -> {
                    while (true) {
                        TestConnection connection = backend.awaitTunnel();
                        connection.send("BUSY\r\n");
                        connection.close();
                    }
                });
        return backend;
    }

    @Test
    void failedUpgradeKeepsOldProcessServingAndNextUpgradeMovesClients() throws Exception {
        clientPort = freePort();
        Backend backend = echoBackend();
        RelayProcess old = new RelayProcess(backend).awaitReady();
        RelayProcess failedProcess = new RelayProcess(backend);
        failedProcess.process.destroyForcibly().waitFor();
        for (int i = 0; i < 20; i++) {
            assertEquals(null, failureOfOpen("b" + i));
        }
        TestConnection establishedClient = new TestConnection(new Socket("127.0.0.1", clientPort));
        resources.add(establishedClient);
        establishedClient.send("OPEN c1 7f3a c=chat,t=acme,d=2000\r\n");
        assertEquals("UP r1", establishedClient.readLine());
        while (!Files.exists(folder.resolve("asterpulley-n1.learned"))) {
            Thread.sleep(5);
        }
        RelayProcess next = new RelayProcess(backend).awaitReady();
        assertTrue(
                Files.readString(next.logFile)
                        .contains("taken over: what another process had learned"));
        old.terminate();
        assertEquals("MOVE", establishedClient.readLine());
        assertEquals(null, failureOfOpen("c2"));
        assertEquals(1, next.metric("upstream_requests_total"));
    }

    /** The old process tells them {@code MOVE}, also in the middle of a line. */
    @Test
    void upgradeMovesClientWhoseLinesArriveInBlocks() throws Exception {
        clientPort = freePort();
        Backend backend = new Backend();
        RelayProcess old = new RelayProcess(backend).awaitReady();
        TestConnection client = new TestConnection(new Socket("127.0.0.1", clientPort));
        resources.add(client);
        client.send("OPEN b1 7f3a c=chat,t=acme,d=2000\r\n");
        streamInBlocks(backend.openNextTunnel());
        assertEquals("UP r1", client.readLine());
        assertEquals("reading 0", client.readLine());
        new RelayProcess(backend).awaitReady();
        old.process.destroy();
        assertMovedBetweenLines(client);
    }
}
