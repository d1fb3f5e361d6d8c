package asterpulley.serve;

import asterpulley.decode.Json;
import asterpulley.decode.MergePatch;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A settings service for tests: one document with its history, and an endpoint for each relay that
 * can be disconnected separately. It answers a long poll once there is a newer version, as the real
 * service does.
 */
final class StubSettingsService implements AutoCloseable {
    private static final Pattern REQUEST_LINE =
            Pattern.compile(
                    "GET /registry/settings(?:\\?index=([0-9]+)&wait=([0-9]+)&epoch=(-?[0-9]+))? HTTP/1.1");

    private record Change(long seq, Object patch) {}

    private final List<Change> history = new ArrayList<>();
    private Object document;
    private long epoch, seq, oldestVersionInHistory;
    private final List<Endpoint> endpoints = new CopyOnWriteArrayList<>();

    StubSettingsService(long epoch, long seq, Object document) {
        replaceHistory(epoch, seq, document);
    }

    /** Starts another history, as after a restart that lost the old one. */
    synchronized void replaceHistory(long epoch, long seq, Object document) {
        this.epoch = epoch;
        this.seq = seq;
        this.document = document;
        history.clear();
        oldestVersionInHistory = seq;
        notifyAll();
    }

    /** Publishes the next version. */
    synchronized void publish(Object patch) {
        document = MergePatch.apply(document, patch);
        history.add(new Change(++seq, patch));
        notifyAll();
    }

    /** Drops the history: relays with an older version get the whole document. */
    synchronized void compactHistory() {
        history.clear();
        oldestVersionInHistory = seq;
    }

    synchronized long seq() {
        return seq;
    }

    /**
     * Returns the response for a relay with version {@code knownVersion}, or with none; waits up to
     * {@code waitMs} ms for a newer one.
     */
    private synchronized String awaitResponse(String knownVersion, String waitMs, String knownEpoch)
            throws InterruptedException {
        long deadline =
                System.nanoTime() + (waitMs == null ? 0 : Long.parseLong(waitMs)) * 1_000_000;
        while (knownVersion != null
                && Long.parseLong(knownEpoch) == epoch
                && Long.parseLong(knownVersion) >= seq
                && System.nanoTime() < deadline) {
            wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        }
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("epoch", epoch);
        response.put("seq", seq);
        boolean wholeDocument =
                knownVersion == null
                        || Long.parseLong(knownEpoch) != epoch
                        || Long.parseLong(knownVersion) < oldestVersionInHistory;
        response.put("whole", wholeDocument);
        if (wholeDocument) {
            response.put("settings", document);
        } else {
            long from = Long.parseLong(knownVersion);
            response.put(
                    "changes",
                    history.stream()
                            .filter(c -> c.seq > from)
                            .map(c -> Map.of("seq", c.seq, "patch", c.patch))
                            .toList());
        }
        return Json.text(response);
    }

    Endpoint addEndpoint() throws IOException {
        Endpoint endpoint = new Endpoint();
        endpoints.add(endpoint);
        return endpoint;
    }

    @Override
    public void close() throws IOException {
        for (Endpoint endpoint : endpoints) {
            endpoint.disconnect();
            endpoint.serverSocket.close();
        }
    }

    /** The service as one relay reaches it, at an address of its own. */
    final class Endpoint {
        private final ServerSocket serverSocket;
        private volatile boolean disconnected;

        /** How many connections came while it was disconnected. */
        volatile int refusedCount;

        private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

        /** The paths of all requests, with their queries. */
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

        /** The bodies of all responses, and scripted responses as they are. */
        final List<String> responses = new CopyOnWriteArrayList<>();

        /**
         * Responses to send instead of the service's own, in order: a body, or a whole HTTP
         * response; "" sends nothing.
         */
        final BlockingQueue<String> scriptedResponses = new LinkedBlockingQueue<>();

        volatile long bytesIn, bytesOut;

        private Endpoint() throws IOException {
            serverSocket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            RelayFixture.runInBackground(
                    () -> {
                        while (true) {
                            Socket socket = serverSocket.accept();
                            openSockets.add(socket);
                            if (disconnected) {
                                refusedCount++;
                                reset(socket);
                            } else {
                                RelayFixture.runInBackground(() -> serve(socket));
                            }
                        }
                    });
        }

        String address() {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        }

        /**
         * Resets all open connections and every new one. The port stays bound, so that no other
         * process gets it meanwhile.
         */
        void disconnect() throws IOException {
            disconnected = true;
            for (Socket socket : openSockets) {
                reset(socket);
            }
        }

        void reconnect() {
            disconnected = false;
        }

        private void reset(Socket socket) throws IOException {
            openSockets.remove(socket);
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException e) {
                // The thread that serves it has just closed it.
                return;
            }
            socket.close();
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            try (socket) {
                BufferedReader reader =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.UTF_8));
                String requestLine = null;
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    bytesIn += line.length() + 2;
                    requestLine = line.startsWith("GET ") ? line : requestLine;
                    if (line.isEmpty()) {
                        Matcher matcher = REQUEST_LINE.matcher(requestLine);
                        requests.add(requestLine.split(" ")[1]);
                        String scripted = scriptedResponses.poll();
                        String body =
                                scripted != null
                                        ? scripted
                                        : matcher.matches()
                                                ? awaitResponse(
                                                        matcher.group(1),
                                                        matcher.group(2),
                                                        matcher.group(3))
                                                : "{}";
                        if (body.isEmpty()) {
                            continue;
                        }
                        responses.add(body);
                        byte[] bytes =
                                (body.startsWith("HTTP/")
                                                ? body
                                                : "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                                        + "Content-Length: "
                                                        + body.getBytes(StandardCharsets.UTF_8)
                                                                .length
                                                        + "\r\n\r\n"
                                                        + body)
                                        .getBytes(StandardCharsets.UTF_8);
                        bytesOut += bytes.length;
                        socket.getOutputStream().write(bytes);
                    }
                }
            } finally {
                openSockets.remove(socket);
            }
        }
    }
}
