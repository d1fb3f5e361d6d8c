import java.io.IOException;
import java.net.Socket;
import java.util.*;
import java.util.concurrent.atomic.*;

/** A step of a rolling deploy: one of five servers drains for three seconds, keeps its clients and then stops. */
final class DrainCase {
    static final int SERVERS = 10, DRAINING = 2, DEADLINE_MS = 1200, STANDING = 330;
    static final double RATE = 1.2, DRAIN_SECONDS = 3;

    static final AtomicInteger moved = new AtomicInteger(), cutOff = new AtomicInteger();
    static final Set<String> drained = java.util.concurrent.ConcurrentHashMap.newKeySet();
    static volatile boolean over;

    public static void main(String[] args) {
        World.play(DrainCase::play);
    }

    static int play() throws Exception {
        World.Discovery discovery = new World.Discovery("127.0.0.2");
        List<World.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            World.Server server = new World.Server("s-" + i, "csepel", "127.0.0." + (10 + i));
            server.capacity = 80;
            servers.add(server);
            discovery.tell(server, "up");
        }
        String listen = "127.0.0.3:" + World.freePort("127.0.0.3");
        String settings =
                "{\"profiles\":[{\"name\":\"pledge\",\"setupGoalMs\":300,\"clientTimeoutMs\":" + DEADLINE_MS
                        + ",\"credit\":5,\"effect\":\"read_like\"}],"
                        + "\"zones\":[\"csepel\"],\"models\":[\"m\"],\"myZone\":0,\"siblings\":1,\"tickMs\":4,"
                        + "\"registryMode\":\"automatic\",\"rules\":{\"drainGraceMs\":50,\"coldFrom\":0.17,\"coldMs\":18000,"
                        + "\"fallMultiple\":1.5,\"fallMs\":1500,\"budgetFree\":3,\"furtherRatio\":0.05,\"lookBackMs\":2000},"
                        + "\"fees\":{\"probe\":0.004,\"crossZone\":0.01},"
                        + "\"limits\":{\"probes\":true,\"mostSetups\":3,\"retryAfter\":false,\"dialTimeoutMs\":250}}";
        World.Relay relay =
                new World.Relay(
                        "n1",
                        listen,
                        null,
                        World.config("n1.json", "n1", listen, null, discovery, 192, 1024, settings),
                        java.nio.file.Files.createDirectory(World.temp.resolve("tmp")),
                        "n1.log");
        if (!relay.awaitPong(30)) {
            return 2;
        }
        AtomicInteger standing = new AtomicInteger();
        for (int i = 0; i < STANDING; i++) {
            World.daemon(() -> client(listen, standing));
            World.sleep(0.05);
        }
        // Then as many come as leave: those that leave are the ones whose life is over.
        Random random = new Random(9);
        double until = World.now() + 25;
        while (World.now() < until) {
            World.daemon(() -> client(listen, standing));
            World.sleep(1 / RATE);
        }
        World.log("standing " + standing);
        if (standing.get() < STANDING * 9 / 10) {
            return 2;
        }
        if (World.TROUBLE) {
            for (World.Server server : servers.subList(0, DRAINING)) {
                World.log("trouble: " + server.host + " drains, holds " + server.inflight);
                drained.add(server.host);
                discovery.tell(server, "draining");
            }
        }
        until = World.now() + DRAIN_SECONDS;
        while (World.now() < until) {
            World.daemon(() -> client(listen, standing));
            World.sleep(1 / RATE);
        }
        if (World.TROUBLE) {
            for (World.Server server : servers.subList(0, DRAINING)) {
                World.log("trouble: " + server.host + " stops, still holds " + server.inflight);
                server.stop();
                discovery.tell(server, "removed");
            }
        }
        World.sleep(3);
        over = true;
        World.log("told to move " + moved + ", cut off without it " + cutOff);
        return cutOff.get() > 0 ? 1 : 0;
    }

    /** Stays, sends a line every two seconds, and comes again soon when it was told to move. */
    static void client(String relay, AtomicInteger standing) {
        String key = World.newId();
        for (int round = 0; round < 5 && !over; round++) {
            World.Try attempt =
                    World.open(relay, key, "c=pledge,d=" + DEADLINE_MS + (round > 0 ? ",again=1" : ""), DEADLINE_MS);
            if (!attempt.up()) {
                World.quietly(attempt.socket);
                World.sleep(0.3);
                continue;
            }
            standing.incrementAndGet();
            boolean told = stay(attempt);
            standing.decrementAndGet();
            if (over) {
                return;
            }
            if (told) {
                moved.incrementAndGet();
            } else {
                cutOff.incrementAndGet();
                World.log("client " + attempt.id + ": cut off without MOVE");
            }
            World.sleep(0.3);
        }
    }

    /** Returns whether the end came with MOVE. */
    private static boolean stay(World.Try attempt) {
        try (Socket socket = attempt.socket) {
            socket.setSoTimeout(0);
            World.daemon(
                    () -> {
                        try {
                            while (!socket.isClosed()) {
                                World.say(socket, "reading");
                                World.sleep(2);
                            }
                        } catch (IOException e) {
                            // It has ended.
                        }
                    });
            for (String text = World.line(socket.getInputStream());
                    text != null;
                    text = World.line(socket.getInputStream())) {
                if (text.equals("MOVE")) {
                    World.log("client " + attempt.id + ": MOVE");
                    return true;
                }
            }
        } catch (IOException e) {
            // It has ended.
        }
        return false;
    }
}
