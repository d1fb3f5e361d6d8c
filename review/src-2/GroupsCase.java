import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** A fleet of 3,200 servers (200 without the disruption), and clients of many groups at one relay. */
final class GroupsCase {
    static final int SERVERS = World.TROUBLE ? 3200 : 200, GROUPS = 10_000, DEADLINE_MS = 1200;
    static final int MEMORY_MB = 96, SOCKETS = 3100;
    static final double RATE = 25, LIFE = 39, END_AT = 95;

    static final AtomicInteger clients = new AtomicInteger(), opened = new AtomicInteger(), standing = new AtomicInteger(),
            broken = new AtomicInteger(), setups = new AtomicInteger();

    public static void main(String[] args) {
        World.play(GroupsCase::play);
    }

    static int play() throws Exception {
        World.Discovery discovery = new World.Discovery("127.0.0.2");
        List<String> entries = new ArrayList<>();
        Selector selector = Selector.open();
        for (int i = 0; i < SERVERS; i++) {
            ServerSocketChannel channel = ServerSocketChannel.open();
            String address = "127.0." + (1 + i / 200) + "." + (1 + i % 200);
            channel.bind(new InetSocketAddress(address, 0), 64);
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_ACCEPT, "s-" + i);
            entries.add(
                    "{\"host\":\"s-" + i + "\",\"dial\":\"" + address + ":" + channel.socket().getLocalPort()
                            + "\",\"site\":\"pce-rybitvi\",\"class\":\"m\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}");
        }
        World.daemon(() -> serve(selector));
        discovery.fleet(entries);
        String listen = "127.0.0.3:" + World.freePort("127.0.0.3");
        String settings =
                "{\"profiles\":[{\"name\":\"live-levels\",\"setupGoalMs\":300,\"clientTimeoutMs\":" + DEADLINE_MS
                        + ",\"credit\":1,\"effect\":\"read_like\"}],"
                        + "\"zones\":[\"pce-rybitvi\"],\"models\":[\"m\"],\"myZone\":0,\"siblings\":160,\"tickMs\":1,"
                        + "\"familyInfo\":{\"mode\":\"proxy\",\"groups\":true},"
                        + "\"registryMode\":\"subscribe\",\"rules\":{\"drainGraceMs\":500,\"coldFrom\":0.12,\"coldMs\":24000,"
                        + "\"fallMultiple\":2.5,\"fallMs\":2000,\"askEveryMs\":10000},\"fees\":{\"probe\":0.0014,\"crossZone\":0.1},"
                        + "\"limits\":{\"probes\":true,\"mostSetups\":5,\"retryAfter\":false,\"dialTimeoutMs\":250}}";
        World.Relay relay =
                new World.Relay(
                        "n1",
                        listen,
                        null,
                        World.config("n1.json", "n1", listen, null, discovery, MEMORY_MB, SOCKETS, settings),
                        Files.createDirectory(World.temp.resolve("tmp")),
                        "n1.log");
        if (!relay.awaitPong(30)) {
            return 2;
        }
        World.log("relay ready, servers " + SERVERS);
        Random random = new Random(12);
        double start = World.now(), report = start;
        while (World.now() - start < END_AT && relay.process.isAlive()) {
            String group = String.format("%016x", 0x5c0f6e1a0000L + random.nextInt(GROUPS));
            double life = -Math.log(1 - random.nextDouble()) * LIFE;
            clients.incrementAndGet();
            World.daemon(() -> client(listen, group, life));
            World.sleep(-Math.log(1 - random.nextDouble()) / RATE);
            if (World.now() > report) {
                report += 5;
                World.log("clients " + clients + ", opened " + opened + ", standing " + standing);
            }
        }
        boolean alive = relay.process.isAlive();
        if (!alive) {
            World.sleep(0.5);
            World.log(
                    "the relay ended by itself, status " + relay.process.exitValue() + ", and with it connections "
                            + broken + "; its log:\n" + Files.readString(World.temp.resolve("n1.log")));
        }
        World.log("relay runs " + alive + ", clients " + clients + ", opened " + opened + ", setups " + setups);
        if (opened.get() < clients.get() / 2) {
            return 2;
        }
        return alive ? 0 : 1;
    }

    /** What came of a line on one connection to a server. */
    private record Peer(String host, StringBuilder text) {}

    /** All servers, on one thread. */
    private static void serve(Selector selector) {
        ByteBuffer bytes = ByteBuffer.allocate(8192);
        while (true) {
            try {
                selector.select();
            } catch (IOException e) {
                World.log("the servers' stand-in ended: " + e);
                return;
            }
            for (SelectionKey key : selector.selectedKeys()) {
                try {
                    if (key.isAcceptable()) {
                        SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                        if (channel != null) {
                            channel.configureBlocking(false);
                            channel.socket().setTcpNoDelay(true);
                            Peer peer = new Peer((String) key.attachment(), new StringBuilder());
                            channel.register(selector, SelectionKey.OP_READ, peer);
                        }
                    } else {
                        read((SocketChannel) key.channel(), (Peer) key.attachment(), bytes);
                    }
                } catch (IOException e) {
                    key.cancel();
                    World.quietly(key.channel());
                }
            }
            selector.selectedKeys().clear();
        }
    }

    private static void read(SocketChannel channel, Peer peer, ByteBuffer bytes) throws IOException {
        bytes.clear();
        if (channel.read(bytes) < 0) {
            channel.close();
            return;
        }
        peer.text.append(new String(bytes.array(), 0, bytes.position(), StandardCharsets.ISO_8859_1));
        for (int end = peer.text.indexOf("\r\n"); end >= 0; end = peer.text.indexOf("\r\n")) {
            String line = peer.text.substring(0, end);
            peer.text.delete(0, end + 2);
            String answer = "R " + line;
            if (line.equals("STATS")) {
                answer = "PONG x0=0.300,qps=0.1,latency_ms=9,eps=0";
            } else if (line.startsWith("OPEN ")) {
                setups.incrementAndGet();
                World.log("server " + peer.host + ": UP " + line.split(" ")[1]);
                answer = "UP " + peer.host + "-" + line.split(" ")[1];
            }
            // Answers are short: the socket's own buffer takes them whole.
            channel.write(ByteBuffer.wrap((answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1)));
        }
    }

    private static void client(String relay, String group, double life) {
        World.Try attempt = World.open(relay, World.newId(), "c=live-levels,d=" + DEADLINE_MS + ",g=" + group, DEADLINE_MS);
        if (attempt.up()) {
            opened.incrementAndGet();
            standing.incrementAndGet();
            double until = World.now() + life;
            try {
                attempt.socket.setSoTimeout(7000);
                while (World.now() < until) {
                    World.say(attempt.socket, "reading");
                    String text = World.line(attempt.socket.getInputStream());
                    if (text == null) {
                        broken.incrementAndGet();
                        break;
                    }
                    if (text.equals("MOVE")) {
                        break;
                    }
                    World.sleep(Math.min(2, Math.max(0.01, until - World.now())));
                }
            } catch (IOException e) {
                broken.incrementAndGet();
            }
            standing.decrementAndGet();
        }
        World.quietly(attempt.socket);
    }
}
