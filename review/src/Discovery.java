import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery as the protocol page has it: the whole list, and a watch on what is newer. */
final class Discovery {
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final TreeMap<Integer, String> changes = new TreeMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener;
    private int version = 40;
    private boolean down;

    Discovery() throws IOException {
        listener = Net.listen();
        Net.daemon(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    static String entry(String host, String dial, String site, String health, long bornMs) {
        return String.format(
                "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"usual\",\"block\":%d,"
                        + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                host, dial, site, 1, health, bornMs);
    }

    /** Adds or changes one entry; those that wait are told at once. */
    synchronized void set(String host, String entry) {
        entries.put(host, entry);
        changes.put(++version, host);
        notifyAll();
    }

    /** The whole list, as it is told and as a configuration has it. */
    synchronized String whole() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", entries.values()) + "]}";
    }

    private synchronized String newer(int index) {
        Map<String, String> changed = new LinkedHashMap<>();
        changes.tailMap(index, false).values().forEach(host -> changed.put(host, entries.get(host)));
        return "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + String.join(",", changed.values()) + "]}";
    }

    private synchronized void awaitNewer(int index, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (version <= index && !down) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return;
            }
            wait(left);
        }
    }

    /** Goes down: open connections are reset, and new ones as they come. */
    void goDown() {
        synchronized (this) {
            down = true;
            notifyAll();
        }
        connections.forEach(Net::reset);
        Record.line("discovery is down");
    }

    /** Can be reached again, with the list as it is by now. */
    synchronized void comeBack() {
        down = false;
        Record.line("discovery can be reached again");
    }

    private synchronized boolean isDown() {
        return down;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                if (isDown()) {
                    Net.reset(socket);
                    continue;
                }
                socket.setTcpNoDelay(true);
                connections.add(socket);
                Net.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Net.LineReader reader = new Net.LineReader(socket);
            OutputStream out = socket.getOutputStream();
            for (String first = reader.next(); first != null; first = reader.next()) {
                List<String> headers = new ArrayList<>();
                for (String header = reader.next(); header != null && !header.isEmpty(); header = reader.next()) {
                    headers.add(header);
                }
                Map<String, String> query = query(first);
                String body;
                if (query.containsKey("index")) {
                    int index = Integer.parseInt(query.get("index"));
                    awaitNewer(index, Math.min(60_000, Long.parseLong(query.getOrDefault("wait", "0"))));
                    body = newer(index);
                } else {
                    body = whole();
                }
                if (isDown()) {
                    Net.reset(socket);
                    return;
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.flush();
                Record.line("discovery told caller " + socket.getPort() + ": " + body);
            }
        } catch (IOException | InterruptedException e) {
            return;
        } finally {
            connections.remove(socket);
        }
    }

    private static Map<String, String> query(String requestLine) {
        Map<String, String> query = new HashMap<>();
        String target = requestLine.split(" ")[1];
        int mark = target.indexOf('?');
        for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }
}
