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
 * A settings service as the tests play it: one document with its history, and a way in for each
 * relay that can be cut by itself. It waits with its answer until there is news, as a service does.
 */
final class SettingsService implements AutoCloseable {
    private static final Pattern CALL =
            Pattern.compile(
                    "GET /registry/settings(?:\\?index=([0-9]+)&wait=([0-9]+)&epoch=(-?[0-9]+))? HTTP/1.1");

    private record Change(long seq, Object patch) {}

    private final List<Change> history = new ArrayList<>();
    private Object document;
    private long epoch, seq, oldest;
    private final List<Way> ways = new CopyOnWriteArrayList<>();

    SettingsService(long epoch, long seq, Object document) {
        restart(epoch, seq, document);
    }

    /** Another history, as after a restart that lost the old one. */
    synchronized void restart(long epoch, long seq, Object document) {
        this.epoch = epoch;
        this.seq = seq;
        this.document = document;
        history.clear();
        oldest = seq;
        notifyAll();
    }

    /** The next version. */
    synchronized void change(Object patch) {
        document = MergePatch.apply(document, patch);
        history.add(new Change(++seq, patch));
        notifyAll();
    }

    /** Only whole copies from now on, but for what changes later. */
    synchronized void compact() {
        history.clear();
        oldest = seq;
    }

    synchronized long seq() {
        return seq;
    }

    /** The answer to who has this version, or to who has none; waits for news so long. */
    private synchronized String answer(String index, String wait, String of)
            throws InterruptedException {
        long until = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000;
        while (index != null
                && Long.parseLong(of) == epoch
                && Long.parseLong(index) >= seq
                && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("epoch", epoch);
        answer.put("seq", seq);
        boolean whole =
                index == null || Long.parseLong(of) != epoch || Long.parseLong(index) < oldest;
        answer.put("whole", whole);
        if (whole) {
            answer.put("settings", document);
        } else {
            long from = Long.parseLong(index);
            answer.put(
                    "changes",
                    history.stream()
                            .filter(c -> c.seq > from)
                            .map(c -> Map.of("seq", c.seq, "patch", c.patch))
                            .toList());
        }
        return Json.text(answer);
    }

    Way way() throws IOException {
        Way way = new Way();
        ways.add(way);
        return way;
    }

    @Override
    public void close() throws IOException {
        for (Way way : ways) {
            way.cut();
            way.listening.close();
        }
    }

    /** One relay's way to the service, at an address of its own. */
    final class Way {
        private final ServerSocket listening;
        private volatile boolean cut;

        /** How many came while it was cut. */
        volatile int refused;

        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        /** The queries as they came, and the bodies as they went out. */
        final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

        final List<String> bodies = new CopyOnWriteArrayList<>();

        /** Instead of the service's answer, in their order: whole answers, "" for silence. */
        final BlockingQueue<String> instead = new LinkedBlockingQueue<>();

        volatile long bytesIn, bytesOut;

        private Way() throws IOException {
            listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            RelayStage.background(
                    () -> {
                        while (true) {
                            Socket socket = listening.accept();
                            open.add(socket);
                            if (cut) {
                                refused++;
                                reset(socket);
                            } else {
                                RelayStage.background(() -> serve(socket));
                            }
                        }
                    });
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        /**
         * What is open is reset, and so is whoever comes. The port stays taken: it must be nobody
         * else's meanwhile.
         */
        void cut() throws IOException {
            cut = true;
            for (Socket socket : open) {
                reset(socket);
            }
        }

        void mend() {
            cut = false;
        }

        private void reset(Socket socket) throws IOException {
            open.remove(socket);
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException e) {
                // Its own thread has closed it just now.
                return;
            }
            socket.close();
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.UTF_8));
                String call = null;
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    bytesIn += line.length() + 2;
                    call = line.startsWith("GET ") ? line : call;
                    if (line.isEmpty()) {
                        Matcher m = CALL.matcher(call);
                        calls.add(call.split(" ")[1]);
                        String told = instead.poll();
                        String body =
                                told != null
                                        ? told
                                        : m.matches()
                                                ? answer(m.group(1), m.group(2), m.group(3))
                                                : "{}";
                        if (body.isEmpty()) {
                            continue;
                        }
                        bodies.add(body);
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
                open.remove(socket);
            }
        }
    }
}
