import java.io.IOException;
import java.net.Socket;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Some servers are full, so further setups are needed all the time; the relay's program is replaced while it serves. */
final class BudgetCase {
    static final int SERVERS = 15, FULL = 6, DEADLINE_MS = 3000, BUDGET_FREE = 2;
    static final double RATIO = 0.05, LOOK_BACK = 5, RATE = 6.9, SLACK = 0.1;

    /** When a client sent its line, when a server had a setup's last byte that was not its tunnel's first. */
    static final List<Double> taken = Collections.synchronizedList(new ArrayList<>()),
            further = Collections.synchronizedList(new ArrayList<>());

    static final Set<String> seen = ConcurrentHashMap.newKeySet();
    static final AtomicInteger opened = new AtomicInteger();
    static volatile boolean over;

    public static void main(String[] args) {
        World.play(BudgetCase::play);
    }

    static int play() throws Exception {
        World.Discovery discovery = new World.Discovery("127.0.0.2");
        for (int i = 0; i < SERVERS; i++) {
            boolean full = i < FULL;
            World.Server server =
                    new World.Server("s-" + i, "nairobi", "127.0.0." + (10 + i)) {
                        @Override
                        void opened(Socket connection, World.Open open) throws IOException {
                            boolean first = seen.add(open.id);
                            if (!first) {
                                further.add(World.now());
                            }
                            World.log(
                                    "server " + host + ": got " + open.id + (first ? "" : ", a further setup")
                                            + (full ? ", is full" : ""));
                            if (full) {
                                World.say(connection, "BUSY");
                            } else {
                                up(connection, open);
                            }
                        }
                    };
            server.capacity = 30;
            discovery.tell(server, "up");
        }
        String listen = "127.0.0.3:" + World.freePort("127.0.0.3");
        String settings =
                "{\"profiles\":[{\"name\":\"meter\",\"setupGoalMs\":500,\"clientTimeoutMs\":" + DEADLINE_MS
                        + ",\"credit\":3,\"effect\":\"read_like\"}],"
                        + "\"zones\":[\"nairobi\"],\"models\":[\"m\"],\"myZone\":0,\"siblings\":1,\"tickMs\":1,"
                        + "\"registryMode\":\"subscribe\",\"rules\":{\"drainGraceMs\":750,\"coldFrom\":0.18,\"coldMs\":17000,"
                        + "\"fallMultiple\":2,\"fallMs\":1000,\"askEveryMs\":10000,\"budgetFree\":" + BUDGET_FREE
                        + ",\"furtherRatio\":" + RATIO + ",\"lookBackMs\":" + (int) (1000 * LOOK_BACK)
                        + "},\"fees\":{\"probe\":0.002},"
                        + "\"limits\":{\"probes\":true,\"mostSetups\":6,\"retryAfter\":false,\"dialTimeoutMs\":250}}";
        Path tmp = Files.createDirectory(World.temp.resolve("tmp"));
        World.Relay relay = start(0, listen, discovery, settings, tmp);
        if (!relay.awaitPong(30)) {
            return 2;
        }
        World.daemon(() -> traffic(listen));
        World.sleep(25);
        for (int upgrade = 1; upgrade <= 4; upgrade++) {
            if (World.TROUBLE) {
                World.Relay fresh = start(upgrade, listen, discovery, settings, tmp);
                double until = World.now() + 6;
                while (World.call(fresh.operator, "GET", "/admin/health") != 200) {
                    if (World.now() > until) {
                        World.log("the new process was not ready in 6 s");
                        return 2;
                    }
                    World.sleep(0.05);
                }
                World.log("platform: the new process says yes");
                relay.signal("TERM");
                relay = fresh;
            }
            World.sleep(14);
        }
        over = true;
        World.sleep(1);
        if (opened.get() < 50 || further.size() < 5) {
            World.log("too little came: opened " + opened + ", further setups " + further.size());
            return 2;
        }
        return worst() > 1e-6 ? 1 : 0;
    }

    /** How far the further setups of any window lie above the budget; the window is taken a little in the relay's favour. */
    private static double worst() {
        double worst = Double.NEGATIVE_INFINITY;
        for (double end : List.copyOf(further)) {
            long sent = further.stream().filter(t -> t > end - LOOK_BACK + SLACK && t <= end).count();
            long came = taken.stream().filter(t -> t > end - LOOK_BACK - SLACK && t <= end + SLACK).count();
            double over = sent - (BUDGET_FREE + RATIO * came);
            if (over > 1e-6) {
                World.log(
                        String.format(
                                Locale.ROOT,
                                "further setups in the %.0f s up to %.3f: %d, tunnels taken %d, budget %.2f",
                                LOOK_BACK,
                                end,
                                sent,
                                came,
                                BUDGET_FREE + RATIO * came));
            }
            worst = Math.max(worst, over);
        }
        World.log(
                String.format(
                        Locale.ROOT,
                        "tunnels taken %d, opened %d, further setups %d, worst window above the budget by %.2f",
                        taken.size(),
                        opened.get(),
                        further.size(),
                        worst));
        return worst;
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

    private static void traffic(String listen) {
        Random random = new Random(11);
        while (!over) {
            World.daemon(() -> client(listen, 20 + 10 * random.nextDouble()));
            World.sleep(-Math.log(1 - random.nextDouble()) / RATE);
        }
    }

    /** Stays for its life; when it was moved it comes again soon. */
    private static void client(String listen, double life) {
        double until = World.now() + life;
        for (boolean again = false; !over && World.now() < until; again = true) {
            taken.add(World.now());
            World.Try attempt =
                    World.open(listen, World.newId(), "c=meter,d=" + DEADLINE_MS + (again ? ",again=1" : ""), DEADLINE_MS);
            String end = null;
            if (attempt.up()) {
                opened.incrementAndGet();
                try {
                    attempt.socket.setSoTimeout((int) Math.max(1, 1000 * (until - World.now())));
                    end = World.line(attempt.socket.getInputStream());
                } catch (IOException e) {
                    // It has ended.
                }
            }
            World.quietly(attempt.socket);
            if (!"MOVE".equals(end)) {
                return;
            }
            World.sleep(0.07 + 0.74 * Math.random());
        }
    }
}
