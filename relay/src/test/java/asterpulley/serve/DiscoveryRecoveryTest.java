package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Discovery fails and recovers. Guards against relays that ask again too late: whatever a request
 * failed on, the new list has to be read before its changes count as known to the relay.
 */
@Timeout(90)
class DiscoveryRecoveryTest extends RelayFixture {
    /**
     * Seconds after discovery can be reached again at which a change counts as known to the relay,
     * and how late the test may read its clock.
     */
    private static final double CHANGE_DEADLINE_S = 6, CLOCK_MARGIN_S = 0.1;

    private static final String SERVICE_UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /** What happens to a request. The names appear in failure messages. */
    private enum Fault {
        NONE,
        /** Nothing listens: connections are refused. */
        DOWN,
        /** The response is 503. */
        REFUSES,
        /** The connection is reset once the request has been read. */
        RESETS,
        /** There is no response. */
        SILENT,
        /** The response ends before its announced length. */
        CUT,
        /** The listen backlog is full: connections are neither established nor refused. */
        FULL,
        /** The response is not valid JSON. */
        MALFORMED,
        /** The request waits for its turn at a {@link SharedWorker}. */
        LATE,
        /** As LATE, but refused with 503 while too many requests wait already. */
        OVERBOOKED
    }

    /** Serves the requests of all simulated services that share it, one at a time. */
    private static final class SharedWorker {
        private static final int QUEUE_CAPACITY = 3;
        private final ReentrantLock lock = new ReentrantLock(true);
        private final Semaphore queueSlots = new Semaphore(QUEUE_CAPACITY);

        /** Waits for its turn and serves a request; false where the queue is bounded and full. */
        boolean tryServe(boolean hasBoundedQueue) throws InterruptedException {
            if (hasBoundedQueue && !queueSlots.tryAcquire()) {
                return false;
            }
            lock.lock();
            try {
                // The simulated service time of a request.
                TimeUnit.MILLISECONDS.sleep(50);
            } finally {
                lock.unlock();
                queueSlots.release(hasBoundedQueue ? 1 : 0);
            }
            return true;
        }
    }

    /** Discovery as one relay reaches it, with one list and one fault at a time. */
    private final class FaultyDiscovery {
        private static final Pattern INDEX_AND_WAIT = Pattern.compile("index=(\\d+)&wait=(\\d+)");
        private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        private final Set<TestConnection> connections = ConcurrentHashMap.newKeySet();
        private final SharedWorker worker;
        private final int port;
        private volatile Fault fault = Fault.NONE;
        private volatile ServerSocket serverSocket;
        private int version = 41;
        private String entries = "";

        /**
         * When a request named the version published at the recovery, that is, when the new list
         * had been read.
         */
        private final CompletableFuture<Long> newListReadAt = new CompletableFuture<>();

        FaultyDiscovery(SharedWorker worker) throws IOException {
            this.worker = worker;
            // Bound but never used: keeps the port reserved while nothing listens there.
            Socket holder = new Socket();
            resources.add(holder);
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress("127.0.0.1", 0));
            port = holder.getLocalPort();
            serverSocket = bindAgain(50);
            acceptConnections(serverSocket);
        }

        private void acceptConnections(ServerSocket listener) {
            resources.add(listener);
            runInBackground(
                    () -> {
                        while (true) {
                            TestConnection connection = new TestConnection(listener.accept());
                            connection.socket.setSoTimeout(60_000);
                            resources.add(connection);
                            connections.add(connection);
                            runInBackground(() -> serve(connection));
                        }
                    });
        }

        private void serve(TestConnection connection) throws Exception {
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                String requestPath = line.split(" ")[1];
                while (!connection.readLine().isEmpty()) {
                    continue;
                }
                Fault currentFault = fault;
                requests.add(requestPath);
                if (requestPath.contains("index=42&")) {
                    newListReadAt.complete(System.nanoTime());
                }
                switch (currentFault) {
                    case REFUSES -> connection.send(SERVICE_UNAVAILABLE);
                    // A connection accepted just as the service went down is reset too.
                    case RESETS, DOWN, FULL -> connection.reset();
                    case CUT ->
                            connection.send(
                                    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"seq\":42,");
                    case MALFORMED ->
                            connection.send(
                                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":{}");
                    case SILENT -> connection.readLine();
                    default -> respond(connection, requestPath, currentFault);
                }
                if (currentFault == Fault.REFUSES || currentFault == Fault.CUT) {
                    connection.close();
                    return;
                }
            }
        }

        private void respond(TestConnection connection, String requestPath, Fault currentFault)
                throws Exception {
            if ((currentFault == Fault.LATE || currentFault == Fault.OVERBOOKED)
                    && !worker.tryServe(currentFault == Fault.OVERBOOKED)) {
                connection.send(SERVICE_UNAVAILABLE);
                return;
            }
            Matcher query = INDEX_AND_WAIT.matcher(requestPath);
            boolean isUpdate = query.find();
            synchronized (this) {
                if (isUpdate && Integer.parseInt(query.group(1)) == version) {
                    long until = System.nanoTime() + Long.parseLong(query.group(2)) * 1_000_000;
                    for (int previous = version;
                            version == previous && System.nanoTime() < until; ) {
                        wait(1 + (until - System.nanoTime()) / 1_000_000);
                    }
                }
                boolean newer = !isUpdate || Integer.parseInt(query.group(1)) < version;
                String body =
                        "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}"
                                .formatted(version, !isUpdate, newer ? entries : "");
                connection.send(
                        "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(body.length(), body));
            }
        }

        /** Starts a fault and resets all open connections, with their pending requests. */
        void startFault(Fault newFault) throws IOException {
            fault = newFault;
            if (newFault == Fault.DOWN || newFault == Fault.FULL) {
                serverSocket.close();
            }
            if (newFault == Fault.FULL) {
                serverSocket = bindAgain(1);
                resources.add(serverSocket);
                fillBacklog();
            }
            for (TestConnection connection : connections) {
                connections.remove(connection);
                connection.reset();
            }
        }

        /** Binds the same port again, as soon as the system allows it. */
        private ServerSocket bindAgain(int backlog) throws IOException {
            while (true) {
                try {
                    return new ServerSocket(port, backlog, InetAddress.getByName("127.0.0.1"));
                } catch (BindException e) {
                    Thread.yield();
                }
            }
        }

        /** Fills the backlog until a connection is no longer established. */
        private void fillBacklog() throws IOException {
            while (true) {
                Socket filler = new Socket();
                resources.add(filler);
                try {
                    filler.connect(serverSocket.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException e) {
                    return;
                }
            }
        }

        /** Returns the number of connection attempts to this port that are not established. */
        private long pendingConnects() throws IOException {
            long pending = 0;
            for (String table : List.of("/proc/self/net/tcp", "/proc/self/net/tcp6")) {
                pending +=
                        Files.readString(java.nio.file.Path.of(table))
                                .lines()
                                .filter(
                                        line ->
                                                line.matches(
                                                        " *\\d+: \\S+ \\S+:%04X 02 .*"
                                                                .formatted(port)))
                                .count();
            }
            return pending;
        }

        /** Makes the service reachable again with a new list; returns when that was. */
        synchronized long recover(Fault nextFault, String... newEntries) throws IOException {
            version++;
            entries = String.join(",", newEntries);
            notifyAll();
            Fault previous = fault;
            fault = nextFault;
            if (previous == Fault.DOWN) {
                serverSocket = bindAgain(50);
            }
            if (previous == Fault.DOWN || previous == Fault.FULL) {
                acceptConnections(serverSocket);
            }
            return System.nanoTime();
        }
    }

    /** A relay and its discovery service. */
    private final class RelayWithDiscovery implements AutoCloseable {
        final FaultyDiscovery discovery;
        final RelayInstance relay;

        RelayWithDiscovery(SharedWorker worker, boolean pushed, String... entries)
                throws IOException {
            discovery = new FaultyDiscovery(worker);
            relay =
                    new RelayInstance(
                            createConfig(
                                    json -> editConfig(json, discovery, pushed), 1000, entries),
                            null);
            resources.add(this);
            relay.open();
        }

        private long counterValue(String name) throws Exception {
            CompletableFuture<Long> result = new CompletableFuture<>();
            relay.readCounters(registry -> result.complete(registry.counterValue(name)));
            return result.get(20, TimeUnit.SECONDS);
        }

        /** Waits until one more request has met the fault, and returns right after that. */
        void awaitFailedRequest(FaultyDiscovery service) throws Exception {
            if (service.fault == Fault.DOWN || service.fault == Fault.FULL) {
                for (long before = counterValue("list_failures");
                        counterValue("list_failures") == before; ) {
                    TimeUnit.MILLISECONDS.sleep(2);
                }
            } else {
                service.requests.clear();
                service.requests.take();
            }
        }

        @Override
        public void close() throws IOException {
            relay.kill();
        }
    }

    private static String editConfig(String json, FaultyDiscovery service, boolean pushed) {
        String edited =
                json.replaceFirst(
                        "\"discovery\":\"[^\"]*\"",
                        "\"discovery\":\"127.0.0.1:" + service.port + "\"");
        return pushed ? edited.replace("\"subscribe\"", "\"automatic\"") : edited;
    }

    /**
     * Returns the seconds from the recovery until the relay, having read the new list, asks for a
     * newer one.
     */
    private static double secondsUntilRead(FaultyDiscovery service, long since) throws Exception {
        return (service.newListReadAt.get(30, TimeUnit.SECONDS) - since) / 1e9;
    }

    private interface Measurement {
        double run() throws Exception;
    }

    private static void assertAllInTime(Map<String, Measurement> measurements) throws Exception {
        Map<String, CompletableFuture<Double>> running = new TreeMap<>();
        measurements.forEach(
                (name, measurement) -> {
                    CompletableFuture<Double> took = new CompletableFuture<>();
                    running.put(name, took);
                    runInBackground(
                            () -> {
                                try {
                                    took.complete(measurement.run());
                                } catch (Throwable e) {
                                    took.completeExceptionally(e);
                                }
                            });
                });
        List<String> lateResults = new ArrayList<>();
        for (String name : running.keySet()) {
            double took = running.get(name).get(60, TimeUnit.SECONDS);
            if (took > CHANGE_DEADLINE_S - CLOCK_MARGIN_S) {
                lateResults.add("%s after %.2f s".formatted(name, took));
            }
        }
        assertEquals(List.of(), lateResults, "list read later than its changes count as known");
    }

    @Test
    void readsListInTimeAfterAnyDiscoveryFault() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        String[] initialList = {one.listEntry("s1", "up")};
        String[] newList = {one.listEntry("s1", "draining"), two.listEntry("s2", "up")};
        Map<String, Measurement> measurements = new TreeMap<>();
        for (boolean pushed : new boolean[] {false, true}) {
            for (Fault fault :
                    List.of(
                            Fault.DOWN,
                            Fault.REFUSES,
                            Fault.RESETS,
                            Fault.SILENT,
                            Fault.CUT,
                            Fault.FULL,
                            Fault.MALFORMED)) {
                for (int faultSeconds : new int[] {1, 4}) {
                    RelayWithDiscovery testRelay =
                            new RelayWithDiscovery(null, pushed, initialList);
                    measurements.put(
                            fault + ", " + faultSeconds + " s" + (pushed ? ", pushed" : ""),
                            () -> {
                                testRelay.discovery.startFault(fault);
                                // The simulated length of the fault, which then ends right after a
                                // request that met it.
                                TimeUnit.SECONDS.sleep(faultSeconds);
                                testRelay.awaitFailedRequest(testRelay.discovery);
                                if (fault == Fault.FULL) {
                                    // The filler that found the backlog full was closed; the relay
                                    // has at most one connection attempt.
                                    assertTrue(
                                            testRelay.discovery.pendingConnects() <= 1,
                                            "connection attempts abandoned but not closed: "
                                                    + testRelay.discovery.pendingConnects());
                                }
                                return secondsUntilRead(
                                        testRelay.discovery,
                                        testRelay.discovery.recover(Fault.NONE, newList));
                            });
                }
            }
            for (Fault fault : List.of(Fault.NONE, Fault.DOWN, Fault.SILENT)) {
                RelayWithDiscovery testRelay = new RelayWithDiscovery(null, pushed, initialList);
                FaultyDiscovery otherDiscovery = new FaultyDiscovery(null);
                Config otherConfig =
                        createConfig(
                                json -> editConfig(json, otherDiscovery, pushed),
                                1000,
                                initialList);
                measurements.put(
                        "moved to " + fault + (pushed ? ", pushed" : ""),
                        () -> {
                            testRelay.discovery.startFault(Fault.DOWN);
                            TimeUnit.SECONDS.sleep(4);
                            otherDiscovery.startFault(fault);
                            if (fault == Fault.NONE) {
                                otherDiscovery.recover(Fault.NONE, newList);
                            }
                            long recoveredAt = System.nanoTime();
                            testRelay.relay.applyConfig(otherConfig);
                            if (fault != Fault.NONE) {
                                testRelay.awaitFailedRequest(otherDiscovery);
                                recoveredAt = otherDiscovery.recover(Fault.NONE, newList);
                            }
                            return secondsUntilRead(otherDiscovery, recoveredAt);
                        });
            }
        }
        assertAllInTime(measurements);
    }

    @Test
    void twentyRelaysReadListInTimeFromAnOverloadedDiscovery() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        Map<String, Measurement> measurements = new TreeMap<>();
        for (Fault fault : List.of(Fault.LATE, Fault.OVERBOOKED)) {
            SharedWorker worker = new SharedWorker();
            for (int i = 0; i < 20; i++) {
                RelayWithDiscovery testRelay =
                        new RelayWithDiscovery(worker, false, one.listEntry("s1", "up"));
                measurements.put(
                        fault + ", relay " + i,
                        () -> {
                            testRelay.discovery.startFault(Fault.DOWN);
                            TimeUnit.SECONDS.sleep(2);
                            return secondsUntilRead(
                                    testRelay.discovery,
                                    testRelay.discovery.recover(
                                            fault,
                                            one.listEntry("s1", "draining"),
                                            two.listEntry("s2", "up")));
                        });
            }
        }
        assertAllInTime(measurements);
    }
}
