import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Upgrades, and while both processes run two servers are taken out at once, by one call at each process's door. */
final class CordonCase {
    static final int SERVERS = 12, DEADLINE_MS = 1200, GRACE_MS = 500, SLACK_MS = 50, ROUNDS = 6;
    static final double RATE = 12;

    /** By server: when the yes to a call that took it out was read, until it is called back. */
    static final Map<String, Double> outSince = new ConcurrentHashMap<>();

    static final AtomicInteger late = new AtomicInteger();
    static volatile boolean over;

    public static void main(String[] args) {
        World.play(CordonCase::play);
    }

    static int play() throws Exception {
        World.Discovery discovery = new World.Discovery("127.0.0.2");
        List<World.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            World.Server server =
                    new World.Server("s-" + i, "pce", "127.0.0." + (10 + i)) {
                        @Override
                        void opened(java.net.Socket connection, World.Open open) throws java.io.IOException {
                            double now = World.now();
                            Double since = outSince.get(host);
                            World.log("server " + host + ": got " + open.id);
                            if (since != null && now > since + (GRACE_MS + SLACK_MS) / 1000.0) {
                                late.incrementAndGet();
                                World.log(
                                        String.format(
                                                Locale.ROOT,
                                                "sent to %s %.3f s after the yes that it is out: %s",
                                                host,
                                                now - since,
                                                open.id));
                            }
                            up(connection, open);
                        }
                    };
            servers.add(server);
            discovery.tell(server, "up");
        }
        String listen = "127.0.0.3:" + World.freePort("127.0.0.3");
        String settings =
                "{\"profiles\":[{\"name\":\"live\",\"setupGoalMs\":300,\"clientTimeoutMs\":" + DEADLINE_MS
                        + ",\"credit\":2,\"effect\":\"read_like\"}],"
                        + "\"zones\":[\"pce\"],\"models\":[\"m\"],\"myZone\":0,\"siblings\":1,\"tickMs\":1,"
                        + "\"registryMode\":\"subscribe\",\"rules\":{\"drainGraceMs\":" + GRACE_MS
                        + ",\"coldFrom\":0.12,\"coldMs\":19000,\"fallMultiple\":4,\"fallMs\":1000,\"askEveryMs\":10000},"
                        + "\"fees\":{\"probe\":0.0053},"
                        + "\"limits\":{\"probes\":true,\"mostSetups\":6,\"retryAfter\":true,\"maxRetryAfterMs\":1500,"
                        + "\"dialTimeoutMs\":250}}";
        Path tmp = Files.createDirectory(World.temp.resolve("tmp"));
        World.Relay old = start(0, listen, discovery, settings, tmp);
        if (!old.awaitPong(30)) {
            return 2;
        }
        Thread traffic = World.daemon(() -> traffic(listen));
        World.sleep(4);
        for (int round = 1; round <= ROUNDS && late.get() == 0; round++) {
            // Without the disruption there is no upgrade: both calls come at once at the one door.
            World.Relay fresh = World.TROUBLE ? start(round, listen, discovery, settings, tmp) : old;
            double until = World.now() + 6;
            while (World.call(fresh.operator, "GET", "/admin/health") != 200) {
                if (World.now() > until) {
                    World.log("the new process was not ready in 6 s");
                    return 2;
                }
                World.sleep(0.05);
            }
            if (World.TROUBLE) {
                World.log("platform: the new process says yes");
                old.signal("TERM");
            }
            // Both processes answer operators; either may be called.
            for (int pair = 0; pair < 4; pair++) {
                takeOut(old, servers.get(2 * pair), fresh, servers.get(2 * pair + 1));
                World.sleep(0.4);
            }
            World.sleep(5);
            if (World.TROUBLE && old.process.isAlive()) {
                World.log("the old process did not end");
                return 2;
            }
            for (String host : List.copyOf(outSince.keySet())) {
                outSince.remove(host);
                World.log("operator: uncordon " + host + ": " + World.call(fresh.operator, "POST", "/admin/uncordon/" + host));
            }
            old = fresh;
            World.sleep(1);
        }
        over = true;
        World.log("sent to servers that were out: " + late);
        return late.get() > 0 ? 1 : 0;
    }

    private static World.Relay start(
            int number, String listen, World.Discovery discovery, String settings, Path tmp) throws Exception {
        String operator = "127.0.0." + (4 + number % 2) + ":" + World.freePort("127.0.0." + (4 + number % 2));
        return new World.Relay(
                "n1",
                listen,
                operator,
                World.config("n1-" + number + ".json", "n1", listen, operator, discovery, 384, 2048, settings),
                tmp,
                "n1-" + number + ".log");
    }

    /** One call at each door, at the same time. */
    private static void takeOut(World.Relay a, World.Server atA, World.Relay b, World.Server atB) throws Exception {
        CyclicBarrier together = new CyclicBarrier(2);
        List<Thread> calls = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            World.Relay relay = i == 0 ? a : b;
            World.Server server = i == 0 ? atA : atB;
            calls.add(
                    World.daemon(
                            () -> {
                                try {
                                    together.await();
                                } catch (InterruptedException | BrokenBarrierException e) {
                                    return;
                                }
                                int status = World.call(relay.operator, "POST", "/admin/cordon/" + server.host);
                                World.log("operator: cordon " + server.host + " at " + relay.operator + ": " + status);
                                if (status == 200) {
                                    outSince.put(server.host, World.now());
                                }
                            }));
        }
        for (Thread call : calls) {
            call.join();
        }
    }

    private static void traffic(String listen) {
        Random random = new Random(10);
        while (!over) {
            double life = 5 + 10 * random.nextDouble();
            World.daemon(
                    () -> {
                        World.Try attempt = World.open(listen, World.newId(), "c=live,d=" + DEADLINE_MS, DEADLINE_MS);
                        if (attempt.up()) {
                            World.sleep(life);
                        }
                        World.quietly(attempt.socket);
                    });
            World.sleep(-Math.log(1 - random.nextDouble()) / RATE);
        }
    }
}
