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
 * Discovery fails and comes back: whatever a call failed on, its list is heard again before it
 * counts as told.
 */
@Timeout(90)
class ReturnTest extends RelayStage {
    /**
     * A change counts as told so long after discovery could be reached again, and the clock here
     * reads a little late.
     */
    private static final double TOLD = 6, MARGIN = 0.1;

    private static final String REFUSED =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /** What becomes of a call. */
    private enum Trouble {
        NONE,
        DOWN,
        REFUSES,
        RESETS,
        SILENT,
        CUT,
        FULL,
        MALFORMED,
        LATE,
        OVERBOOKED
    }

    /** Who works through the calls of all that share it, one after the other. */
    private static final class Worker {
        private static final int ROOM = 3;
        private final ReentrantLock turn = new ReentrantLock(true);
        private final Semaphore room = new Semaphore(ROOM);

        /** False where there are too many to wait behind. */
        boolean worksThrough(boolean refuses) throws InterruptedException {
            if (refuses && !room.tryAcquire()) {
                return false;
            }
            turn.lock();
            try {
                // How long a call takes is what is played here.
                TimeUnit.MILLISECONDS.sleep(50);
            } finally {
                turn.unlock();
                room.release(refuses ? 1 : 0);
            }
            return true;
        }
    }

    /** Discovery as one relay reaches it, with one list at a time, and one trouble. */
    private final class Service {
        private static final Pattern INDEX = Pattern.compile("index=(\\d+)&wait=(\\d+)");
        private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        private final Set<End> ends = ConcurrentHashMap.newKeySet();
        private final Worker worker;
        private final int port;
        private volatile Trouble trouble = Trouble.NONE;
        private volatile ServerSocket listening;
        private int version = 41;
        private String entries = "";

        /** When a call came that names the version of the return: that list has been heard. */
        private final CompletableFuture<Long> heard = new CompletableFuture<>();

        Service(Worker worker) throws IOException {
            this.worker = worker;
            // Bound and never used: so nobody else comes to the address while nobody listens there.
            Socket holder = new Socket();
            open.add(holder);
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress("127.0.0.1", 0));
            port = holder.getLocalPort();
            listening = again(50);
            accept(listening);
        }

        private void accept(ServerSocket at) {
            open.add(at);
            background(
                    () -> {
                        while (true) {
                            End end = new End(at.accept());
                            end.socket.setSoTimeout(60_000);
                            open.add(end);
                            ends.add(end);
                            background(() -> serve(end));
                        }
                    });
        }

        private void serve(End end) throws Exception {
            for (String line = end.line(); line != null; line = end.line()) {
                String call = line.split(" ")[1];
                while (!end.line().isEmpty()) {
                    continue;
                }
                Trouble met = trouble;
                calls.add(call);
                if (call.contains("index=42&")) {
                    heard.complete(System.nanoTime());
                }
                switch (met) {
                    case REFUSES -> end.say(REFUSED);
                    // Down also for who was let in just as it went down.
                    case RESETS, DOWN, FULL -> end.reset();
                    case CUT ->
                            end.say("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"seq\":42,");
                    case MALFORMED ->
                            end.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":{}");
                    case SILENT -> end.line();
                    default -> answer(end, call, met);
                }
                if (met == Trouble.REFUSES || met == Trouble.CUT) {
                    end.close();
                    return;
                }
            }
        }

        private void answer(End end, String call, Trouble met) throws Exception {
            if ((met == Trouble.LATE || met == Trouble.OVERBOOKED)
                    && !worker.worksThrough(met == Trouble.OVERBOOKED)) {
                end.say(REFUSED);
                return;
            }
            Matcher index = INDEX.matcher(call);
            boolean changes = index.find();
            synchronized (this) {
                if (changes && Integer.parseInt(index.group(1)) == version) {
                    long until = System.nanoTime() + Long.parseLong(index.group(2)) * 1_000_000;
                    for (int was = version; version == was && System.nanoTime() < until; ) {
                        wait(1 + (until - System.nanoTime()) / 1_000_000);
                    }
                }
                boolean newer = !changes || Integer.parseInt(index.group(1)) < version;
                String body =
                        "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}"
                                .formatted(version, !changes, newer ? entries : "");
                end.say(
                        "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(body.length(), body));
            }
        }

        /** From now on; the watches that are open end with it. */
        void falls(Trouble into) throws IOException {
            trouble = into;
            if (into == Trouble.DOWN || into == Trouble.FULL) {
                listening.close();
            }
            if (into == Trouble.FULL) {
                listening = again(1);
                open.add(listening);
                fill();
            }
            for (End end : ends) {
                ends.remove(end);
                end.reset();
            }
        }

        /** The same address once more, as soon as the system gives it. */
        private ServerSocket again(int queue) throws IOException {
            while (true) {
                try {
                    return new ServerSocket(port, queue, InetAddress.getByName("127.0.0.1"));
                } catch (BindException e) {
                    Thread.yield();
                }
            }
        }

        /** Nobody is let in: the queue is filled until a connection does not come up. */
        private void fill() throws IOException {
            while (true) {
                Socket filler = new Socket();
                open.add(filler);
                try {
                    filler.connect(listening.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException e) {
                    return;
                }
            }
        }

        /** Connections that somebody tries to make here and that are not up. */
        private long pending() throws IOException {
            long pending = 0;
            for (String table : List.of("/proc/self/net/tcp", "/proc/self/net/tcp6")) {
                pending +=
                        Files.readString(java.nio.file.Path.of(table))
                                .lines()
                                .filter(
                                        l ->
                                                l.matches(
                                                        " *\\d+: \\S+ \\S+:%04X 02 .*"
                                                                .formatted(port)))
                                .count();
            }
            return pending;
        }

        /** Can be reached from now on, with that list; when that was. */
        synchronized long returns(Trouble then, String... list) throws IOException {
            version++;
            entries = String.join(",", list);
            notifyAll();
            Trouble was = trouble;
            trouble = then;
            if (was == Trouble.DOWN) {
                listening = again(50);
            }
            if (was == Trouble.DOWN || was == Trouble.FULL) {
                accept(listening);
            }
            return System.nanoTime();
        }
    }

    /** One relay and its discovery. */
    private final class Path implements AutoCloseable {
        final Service service;
        final RelayInstance relay;

        Path(Worker worker, boolean pushed, String... entries) throws IOException {
            service = new Service(worker);
            relay =
                    new RelayInstance(
                            config(told -> told(told, service, pushed), 1000, entries), null);
            open.add(this);
            relay.open();
        }

        private long counted(String what) throws Exception {
            CompletableFuture<Long> got = new CompletableFuture<>();
            relay.readCounters(book -> got.complete(book.counterValue(what)));
            return got.get(20, TimeUnit.SECONDS);
        }

        /** Waits until one more call has met the trouble, and returns just behind it. */
        void meets(Service at) throws Exception {
            if (at.trouble == Trouble.DOWN || at.trouble == Trouble.FULL) {
                for (long before = counted("list_failures"); counted("list_failures") == before; ) {
                    TimeUnit.MILLISECONDS.sleep(2);
                }
            } else {
                at.calls.clear();
                at.calls.take();
            }
        }

        @Override
        public void close() throws IOException {
            relay.kill();
        }
    }

    private static String told(String usual, Service service, boolean pushed) {
        String told =
                usual.replaceFirst(
                        "\"discovery\":\"[^\"]*\"",
                        "\"discovery\":\"127.0.0.1:" + service.port + "\"");
        return pushed ? told.replace("\"subscribe\"", "\"automatic\"") : told;
    }

    /**
     * Seconds from the service's return until the relay asks for what is newer than what it then
     * had.
     */
    private static double until(Service service, long since) throws Exception {
        return (service.heard.get(30, TimeUnit.SECONDS) - since) / 1e9;
    }

    private interface Measure {
        double run() throws Exception;
    }

    private static void inTime(Map<String, Measure> paths) throws Exception {
        Map<String, CompletableFuture<Double>> running = new TreeMap<>();
        paths.forEach(
                (name, path) -> {
                    CompletableFuture<Double> took = new CompletableFuture<>();
                    running.put(name, took);
                    background(
                            () -> {
                                try {
                                    took.complete(path.run());
                                } catch (Throwable e) {
                                    took.completeExceptionally(e);
                                }
                            });
                });
        List<String> late = new ArrayList<>();
        for (String name : running.keySet()) {
            double took = running.get(name).get(60, TimeUnit.SECONDS);
            if (took > TOLD - MARGIN) {
                late.add("%s after %.2f s".formatted(name, took));
            }
        }
        assertEquals(List.of(), late, "heard later than it counts as told");
    }

    @Test
    void whateverACallFailedOnTheListIsHeardAgainBeforeItCountsAsTold() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        String[] known = {one.entry("s1", "up")};
        String[] anew = {one.entry("s1", "draining"), two.entry("s2", "up")};
        Map<String, Measure> paths = new TreeMap<>();
        for (boolean pushed : new boolean[] {false, true}) {
            for (Trouble trouble :
                    List.of(
                            Trouble.DOWN,
                            Trouble.REFUSES,
                            Trouble.RESETS,
                            Trouble.SILENT,
                            Trouble.CUT,
                            Trouble.FULL,
                            Trouble.MALFORMED)) {
                for (int seconds : new int[] {1, 4}) {
                    Path path = new Path(null, pushed, known);
                    paths.put(
                            trouble + ", " + seconds + " s" + (pushed ? ", pushed" : ""),
                            () -> {
                                path.service.falls(trouble);
                                // The length of the trouble is what is played here; it then ends
                                // just behind a call that it met.
                                TimeUnit.SECONDS.sleep(seconds);
                                path.meets(path.service);
                                if (trouble == Trouble.FULL) {
                                    // The filler that told that the queue is full was closed; the
                                    // relay has one dial at most.
                                    assertTrue(
                                            path.service.pending() <= 1,
                                            "given up, but not ended: " + path.service.pending());
                                }
                                return until(
                                        path.service, path.service.returns(Trouble.NONE, anew));
                            });
                }
            }
            for (Trouble trouble : List.of(Trouble.NONE, Trouble.DOWN, Trouble.SILENT)) {
                Path path = new Path(null, pushed, known);
                Service other = new Service(null);
                Config to = config(told -> told(told, other, pushed), 1000, known);
                paths.put(
                        "moved to " + trouble + (pushed ? ", pushed" : ""),
                        () -> {
                            path.service.falls(Trouble.DOWN);
                            TimeUnit.SECONDS.sleep(4);
                            other.falls(trouble);
                            if (trouble == Trouble.NONE) {
                                other.returns(Trouble.NONE, anew);
                            }
                            long moved = System.nanoTime();
                            path.relay.applyConfig(to);
                            if (trouble != Trouble.NONE) {
                                path.meets(other);
                                moved = other.returns(Trouble.NONE, anew);
                            }
                            return until(other, moved);
                        });
            }
        }
        inTime(paths);
    }

    @Test
    void twentyRelaysAtOnceHearAnOverbookedServiceBeforeItsListCountsAsTold() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        Map<String, Measure> paths = new TreeMap<>();
        for (Trouble trouble : List.of(Trouble.LATE, Trouble.OVERBOOKED)) {
            Worker worker = new Worker();
            for (int i = 0; i < 20; i++) {
                Path path = new Path(worker, false, one.entry("s1", "up"));
                paths.put(
                        trouble + ", relay " + i,
                        () -> {
                            path.service.falls(Trouble.DOWN);
                            TimeUnit.SECONDS.sleep(2);
                            return until(
                                    path.service,
                                    path.service.returns(
                                            trouble,
                                            one.entry("s1", "draining"),
                                            two.entry("s2", "up")));
                        });
            }
        }
        inTime(paths);
    }
}
