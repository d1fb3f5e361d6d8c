package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A relay that is replaced while it serves, as operators do it: two processes of their own, one
 * address for clients.
 */
@Timeout(120)
class UpgradeTest extends RelayStage {
    private int listen;

    /** One process of the relay and its operators' address. */
    private final class Relay implements AutoCloseable {
        final Process process;
        final int door;
        final Path log;

        Relay(Backend... backends) throws IOException {
            door = freePort();
            Path config = folder.resolve("config-" + door + ".json");
            List<String> entries = new ArrayList<>();
            for (int b = 0; b < backends.length; b++) {
                entries.add(backends[b].entry("s" + (b + 1), "up"));
            }
            config(1000, entries.toArray(String[]::new));
            Files.writeString(
                    config,
                    Files.readString(folder.resolve("config.json"))
                            .replace(
                                    "127.0.0.1:0\"",
                                    "127.0.0.1:"
                                            + listen
                                            + "\",\"operator\":\"127.0.0.1:"
                                            + door
                                            + "\""));
            registry.tells(41);
            log = folder.resolve("log-" + door);
            ProcessBuilder run = process(config, log);
            run.environment().put("TMPDIR", folder.toString());
            process = run.start();
            open.add(this);
        }

        /** Waits until it says yes. */
        Relay ready() throws Exception {
            while (call("GET", "health") != 200) {
                assertTrue(process.isAlive(), Files.readString(log));
                Thread.sleep(5);
            }
            return this;
        }

        /** The status; 0 where nobody answers. */
        int call(String method, String path) {
            try (End end = new End(new Socket("127.0.0.1", door))) {
                end.say(
                        method
                                + " /admin/"
                                + path
                                + " HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n");
                return Integer.parseInt(end.line().split(" ")[1]);
            } catch (IOException e) {
                return 0;
            }
        }

        long figure(String name) throws IOException {
            try (End end = new End(new Socket("127.0.0.1", door))) {
                end.say("GET /admin/stats HTTP/1.1\r\nHost: d\r\n\r\n");
                return new String(end.in.readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .filter(l -> l.startsWith("relay_" + name + " "))
                        .map(l -> Long.parseLong(l.split(" ")[1]))
                        .findFirst()
                        .orElseThrow();
            }
        }

        /** Sends SIGTERM and waits for its orderly end. */
        void leave() throws Exception {
            process.destroy();
            assertTrue(process.waitFor(6, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue(), Files.readString(log));
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

    private Backend openingBackend() throws IOException {
        Backend b = new Backend();
        background(
                () -> {
                    while (true) {
                        End end = b.opens();
                        background(
                                () -> {
                                    for (String line = end.line();
                                            line != null;
                                            line = end.line()) {
                                        end.say(line + "\r\n");
                                    }
                                    end.close();
                                });
                    }
                });
        return b;
    }

    /** One client: what became of its connection, {@code null} where it had its answer. */
    private String tries(String id) {
        try (Socket socket = new Socket("127.0.0.1", listen)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(
                            ("OPEN " + id + " 7f3a c=chat,t=acme,d=2000\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            int first = in.read();
            return first == 'U' || first == 'B' ? null : "ended with " + first;
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Test
    void upgradesUnderLoadLoseNoConnection() throws Exception {
        listen = freePort();
        Backend b = openingBackend();
        Relay now = new Relay(b).ready();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger ids = new AtomicInteger(), served = new AtomicInteger();
        ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
        List<Thread> load = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            // So many at once that some always wait in the queue.
            load.add(
                    new Thread(
                            () -> {
                                while (!over.get()) {
                                    String what = tries(Integer.toHexString(ids.incrementAndGet()));
                                    if (what == null) {
                                        served.incrementAndGet();
                                    } else {
                                        lost.add(what);
                                    }
                                }
                            }));
        }
        load.forEach(Thread::start);
        int upgrades = 3;
        for (int i = 0; i < upgrades; i++) {
            Relay next = new Relay(b).ready();
            now.leave();
            assertTrue(
                    Files.readString(now.log).contains("another process serves"),
                    Files.readString(now.log));
            now = next;
        }
        over.set(true);
        for (Thread one : load) {
            one.join();
        }
        assertTrue(served.get() > 500, "served " + served);
        assertTrue(
                lost.size() <= 2 * upgrades, "of " + served + " lost " + lost.size() + ": " + lost);
    }

    @Test
    void aCordonOutlivesUpgradesAndIsLiftedByWhicheverProcessIsAsked() throws Exception {
        listen = freePort();
        Backend one = openingBackend();
        Backend two = openingBackend();
        Relay old = new Relay(one, two).ready();
        assertEquals(200, old.call("POST", "cordon/s1"));
        Relay next = new Relay(one, two).ready();
        assertEquals(1, next.figure("members_unavailable"), "known before its yes");
        assertEquals(200, next.call("POST", "cordon/s2"));
        while (old.figure("members_unavailable") != 2) {
            // It looks for what the other was told.
            Thread.sleep(5);
        }
        old.leave();
        assertEquals(200, next.call("POST", "uncordon/s2"));
        int before = one.openings.size();
        for (int i = 0; i < 10; i++) {
            assertEquals(null, tries("a" + i));
        }
        assertEquals(before, one.openings.size());
        // Restarted meanwhile: the new process's list says so, and it stays left out.
        Backend anew = openingBackend();
        Relay last = new Relay(anew, two).ready();
        next.leave();
        for (int i = 0; i < 10; i++) {
            assertEquals(null, tries("c" + i));
        }
        assertEquals(0, anew.openings.size());
        assertEquals(200, last.call("POST", "uncordon/s1"));
        assertEquals(0, last.figure("members_unavailable"));
        for (int i = 0; anew.openings.isEmpty(); i++) {
            assertTrue(i < 200, "it is used again");
            assertEquals(null, tries("d" + i));
        }
    }

    @Test
    void aNewProcessThatDiesLeavesTheOldOneServingAndAStandingClientIsMovedOver() throws Exception {
        listen = freePort();
        Backend b = openingBackend();
        Relay old = new Relay(b).ready();
        Relay stillborn = new Relay(b);
        stillborn.process.destroyForcibly().waitFor();
        for (int i = 0; i < 20; i++) {
            assertEquals(null, tries("b" + i));
        }
        End standing = new End(new Socket("127.0.0.1", listen));
        open.add(standing);
        standing.say("OPEN c1 7f3a c=chat,t=acme,d=2000\r\n");
        assertEquals("UP r1", standing.line());
        while (!Files.exists(folder.resolve("asterpulley-n1.learned"))) {
            Thread.sleep(5);
        }
        Relay next = new Relay(b).ready();
        assertTrue(
                Files.readString(next.log)
                        .contains("taken over: what another process had learned"));
        old.leave();
        assertEquals("MOVE", standing.line());
        assertEquals(null, tries("c2"));
        assertEquals(1, next.figure("upstream_requests_total"));
    }
}
