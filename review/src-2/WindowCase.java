import java.io.IOException;
import java.net.Socket;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A referenced profile, one of ten servers hangs, and clients come again when the relay's decline tells them to. */
final class WindowCase {
    static final int SERVERS = 10, DEADLINE_MS = 1200, WINDOW_MS = 1500, MAX_RETRY_AFTER_MS = 600;
    static final double TROUBLE_AT = 8, TROUBLE_SECONDS = 20, END_AT = 32, RATE = 12;

    /** What the servers of the group remember: by mark, when it last ran, and how often it ran. */
    static final Map<String, Double> lastRun = new HashMap<>();

    static final Map<String, Integer> runs = new HashMap<>();
    static final Map<String, String> history = new ConcurrentHashMap<>();

    static synchronized void run(World.Server server, World.Open open) {
        Double last = lastRun.get(open.key);
        double now = World.now();
        if (last != null && now - last <= WINDOW_MS / 1000.0) {
            World.log("server " + server.host + ": repeat of " + open.key + " dropped, " + open.id);
            return;
        }
        lastRun.put(open.key, now);
        int count = runs.merge(open.key, 1, Integer::sum);
        World.log("server " + server.host + ": ran " + open.key + ", time " + count + ", " + open.id);
    }

    public static void main(String[] args) {
        World.play(WindowCase::play);
    }

    static int play() throws Exception {
        World.Discovery discovery = new World.Discovery("127.0.0.2");
        AtomicReference<World.Server> hung = new AtomicReference<>();
        List<World.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            World.Server server =
                    new World.Server("s-" + i, "la-teja", "127.0.0." + (10 + i)) {
                        @Override
                        void opened(Socket connection, World.Open open) throws IOException {
                            run(this, open);
                            if (hung.get() == this) {
                                // Takes work and answers nothing.
                                World.line(connection.getInputStream());
                                return;
                            }
                            up(connection, open);
                        }
                    };
            servers.add(server);
            discovery.tell(server, "up");
        }
        String listen = "127.0.0.3:" + World.freePort("127.0.0.3");
        String settings =
                "{\"profiles\":[{\"name\":\"lectura\",\"setupGoalMs\":300,\"clientTimeoutMs\":" + DEADLINE_MS
                        + ",\"credit\":1,\"effect\":\"idempotency_key\",\"group\":\"all\",\"windowMs\":"
                        + WINDOW_MS
                        + "}],\"zones\":[\"la-teja\"],\"models\":[\"m\"],\"myZone\":0,\"siblings\":1,\"tickMs\":4,"
                        + "\"registryMode\":\"subscribe\",\"rules\":{\"drainGraceMs\":3000,\"coldFrom\":0.3,\"coldMs\":8800,"
                        + "\"fallMultiple\":3,\"fallMs\":3000,\"askEveryMs\":10000},\"fees\":{\"probe\":0.003},"
                        + "\"limits\":{\"probes\":true,\"mostSetups\":3,\"retryAfter\":true,\"maxRetryAfterMs\":"
                        + MAX_RETRY_AFTER_MS
                        + ",\"dialTimeoutMs\":250}}";
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
        double start = World.now();
        AtomicInteger clients = new AtomicInteger(), opened = new AtomicInteger();
        Random random = new Random(7);
        boolean troubled = false;
        while (World.now() - start < END_AT) {
            double t = World.now() - start;
            if (World.TROUBLE && !troubled && t > TROUBLE_AT) {
                troubled = true;
                hung.set(servers.get(3));
                World.log("trouble: s-3 takes work and answers nothing from now on");
            }
            if (hung.get() != null && t > TROUBLE_AT + TROUBLE_SECONDS) {
                hung.set(null);
                World.log("trouble: over");
            }
            String key = World.newId();
            double life = 5 + 15 * random.nextDouble();
            clients.incrementAndGet();
            World.daemon(() -> client(listen, key, life, opened));
            World.sleep(-Math.log(1 - random.nextDouble()) / RATE);
        }
        World.sleep(6);
        int twice = 0;
        for (Map.Entry<String, Integer> entry : runs.entrySet()) {
            if (entry.getValue() > 1 && history.getOrDefault(entry.getKey(), "").contains("told to come again")) {
                twice++;
                World.log("ran " + entry.getValue() + " times: " + entry.getKey() + history.get(entry.getKey()));
            }
        }
        World.log("clients " + clients + ", opened " + opened + ", effects that happened twice " + twice);
        if (opened.get() < clients.get() / 2) {
            return 2;
        }
        return twice > 0 ? 1 : 0;
    }

    /** Comes again, twice at most, when it was declined, as long after as it was told; never after an error. */
    static void client(String relay, String key, double life, AtomicInteger opened) {
        for (int tries = 0; tries < 3; tries++) {
            World.Try attempt =
                    World.open(
                            relay, key, "c=lectura,d=" + DEADLINE_MS + (tries > 0 ? ",r=1" : ""), DEADLINE_MS);
            if (attempt.up()) {
                opened.incrementAndGet();
                stay(attempt.socket, life);
                return;
            }
            World.quietly(attempt.socket);
            if (!attempt.busy()) {
                return;
            }
            history.merge(
                    key,
                    String.format(
                            Locale.ROOT,
                            "; %s declined at %.3f after %.0f ms, told to come again after %.0f ms",
                            attempt.id,
                            attempt.answeredAt,
                            1000 * (attempt.answeredAt - attempt.sentAt),
                            1000 * attempt.retryAfter()),
                    String::concat);
            World.sleep(attempt.retryAfter());
        }
    }

    private static void stay(Socket socket, double life) {
        double until = World.now() + life;
        try (socket) {
            socket.setSoTimeout(7000);
            while (World.now() < until) {
                World.say(socket, "reading");
                String answer = World.line(socket.getInputStream());
                if (answer == null || answer.equals("MOVE")) {
                    return;
                }
                World.sleep(2);
            }
        } catch (IOException e) {
            // The relay ended it.
        }
    }
}
