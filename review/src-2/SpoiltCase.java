import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** One of ten servers spoils its answers: the line is longer than the protocol allows and comes in two pieces. */
final class SpoiltCase {
    static final int SERVERS = 10, DEADLINE_MS = 1200;
    static final double TROUBLE_AT = 4, END_AT = 25, RATE = 10;

    /** All that servers answered, by the client's id. */
    static final Map<String, Set<String>> given = new ConcurrentHashMap<>();

    public static void main(String[] args) {
        World.play(SpoiltCase::play);
    }

    static int play() throws Exception {
        World.Discovery discovery = new World.Discovery("127.0.0.2");
        AtomicReference<World.Server> spoiling = new AtomicReference<>();
        List<World.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            World.Server server =
                    new World.Server("s-" + i, "la-teja", "127.0.0." + (10 + i)) {
                        @Override
                        void opened(Socket connection, World.Open open) throws IOException {
                            World.log("server " + host + ": got " + open.id);
                            Set<String> answers =
                                    given.computeIfAbsent(open.id, id -> ConcurrentHashMap.newKeySet());
                            answers.add("UP " + host + "-" + open.id);
                            if (spoiling.get() != this) {
                                up(connection, open);
                                return;
                            }
                            String receipt = "UP " + host + "-" + open.id + "-" + "x".repeat(4200) + "-end";
                            answers.add(receipt);
                            byte[] bytes = (receipt + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
                            connection.getOutputStream().write(bytes, 0, 3000);
                            World.sleep(0.02);
                            connection.getOutputStream().write(bytes, 3000, bytes.length - 3000);
                            World.log("server " + host + ": spoilt answer of " + bytes.length + " bytes to " + open.id);
                            for (String text = World.line(connection.getInputStream());
                                    text != null;
                                    text = World.line(connection.getInputStream())) {
                                World.say(connection, "R " + text);
                            }
                        }
                    };
            servers.add(server);
            discovery.tell(server, "up");
        }
        String listen = "127.0.0.3:" + World.freePort("127.0.0.3");
        String settings =
                "{\"profiles\":[{\"name\":\"lectura\",\"setupGoalMs\":300,\"clientTimeoutMs\":" + DEADLINE_MS
                        + ",\"credit\":1,\"effect\":\"read_like\"}],"
                        + "\"zones\":[\"la-teja\"],\"models\":[\"m\"],\"myZone\":0,\"siblings\":1,\"tickMs\":4,"
                        + "\"registryMode\":\"subscribe\",\"rules\":{\"drainGraceMs\":3000,\"coldFrom\":0.3,\"coldMs\":8800,"
                        + "\"fallMultiple\":3,\"fallMs\":3000,\"askEveryMs\":10000},\"fees\":{\"probe\":0.003},"
                        + "\"limits\":{\"probes\":true,\"mostSetups\":3,\"retryAfter\":true,\"maxRetryAfterMs\":600,"
                        + "\"dialTimeoutMs\":250}}";
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
        AtomicInteger clients = new AtomicInteger(), opened = new AtomicInteger(), wrong = new AtomicInteger();
        Random random = new Random(8);
        while (World.now() - start < END_AT) {
            if (World.TROUBLE && spoiling.get() == null && World.now() - start > TROUBLE_AT) {
                spoiling.set(servers.get(3));
                World.log("trouble: s-3 spoils its answers from now on");
            }
            double life = 3 + 6 * random.nextDouble();
            clients.incrementAndGet();
            World.daemon(
                    () -> {
                        World.Try attempt =
                                World.open(listen, World.newId(), "c=lectura,d=" + DEADLINE_MS, DEADLINE_MS);
                        if (attempt.up()) {
                            opened.incrementAndGet();
                            if (!given.getOrDefault(attempt.id, Set.of()).contains(attempt.answer)) {
                                wrong.incrementAndGet();
                                World.log(
                                        "served with what no server made: " + attempt.id + " got "
                                                + attempt.answer.length() + " characters, ending in "
                                                + attempt.answer.substring(attempt.answer.length() - 8));
                            }
                            World.sleep(life);
                        }
                        World.quietly(attempt.socket);
                    });
            World.sleep(-Math.log(1 - random.nextDouble()) / RATE);
        }
        World.sleep(3);
        World.log("clients " + clients + ", opened " + opened + ", served with what no server made " + wrong);
        if (opened.get() < clients.get() / 2) {
            return 2;
        }
        return wrong.get() > 0 ? 1 : 0;
    }
}
