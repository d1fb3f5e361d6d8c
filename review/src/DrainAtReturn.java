import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Case: lists are pushed, and discovery is down for a moment, in which servers begin to drain. What it has at its return
 * counts as told at once.
 */
final class DrainAtReturn {
    private static final int SERVERS = 24, ROUNDS = 11, RELAYS = 2, DRAINING_A_ROUND = 2;
    private static final double OUTAGE_SECONDS = 0.03, ROUND_SECONDS = 5;
    private static final double NEW_CLIENT_EVERY_SECONDS = 0.2, TUNNEL_SECONDS = 8;

    /** The grace of the settings, and the 50 ms by which limits are longer on sockets. */
    private static final double GRACE_SECONDS = 0.05 + 0.05;

    private DrainAtReturn() {}

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[1]));
        Discovery discovery = new Discovery();
        String[] sites = {"room-a", "room-b", "room-c"};
        FeedServer[] servers = new FeedServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = new FeedServer("s-" + i, sites[i % sites.length]);
            discovery.set(servers[i].host, servers[i].entry("up"));
        }
        List<Client> clients = new CopyOnWriteArrayList<>();
        AtomicBoolean coming = new AtomicBoolean(true);
        List<Relay> relays = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            int port = Net.freePort();
            String config =
                    Relay.config("n" + i, port, 0, discovery.port(), discovery.whole(), Settings.pushed(RELAYS));
            relays.add(Relay.start("n" + i, port, 0, config, folder, folder.resolve("tmp" + i)));
        }
        for (Relay relay : relays) {
            if (!relay.awaitReady(30)) {
                Case.end(Case.NOT_RUN, "the case could not run: relay " + relay.label + " was not ready");
            }
            Net.daemon(() -> comeAndGo(relay, clients, coming));
        }
        Net.sleep(5);
        List<String> broken = new ArrayList<>();
        int tries = 0;
        List<FeedServer> drained = new ArrayList<>();
        List<Double> told = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            List<FeedServer> now = List.of(servers).subList(round * DRAINING_A_ROUND, (round + 1) * DRAINING_A_ROUND);
            if (trouble) {
                discovery.goDown();
            }
            for (FeedServer server : now) {
                server.drain();
                discovery.set(server.host, server.entry("draining"));
            }
            Net.sleep(OUTAGE_SECONDS);
            if (trouble) {
                discovery.comeBack();
            }
            double toldAt = Record.now();
            for (FeedServer server : now) {
                drained.add(server);
                told.add(toldAt);
            }
            Net.sleep(ROUND_SECONDS);
        }
        coming.set(false);
        for (int i = 0; i < drained.size(); i++) {
            FeedServer server = drained.get(i);
            for (double at : server.openedAfter(told.get(i) + GRACE_SECONDS)) {
                tries++;
                broken.add(String.format(Locale.ROOT, "%s, told at %.3f, %.3f s before", server.host, told.get(i), at - told.get(i)));
            }
        }
        broken.forEach(text -> Record.line("sent after the grace: " + text));
        long opened = clients.stream().filter(c -> c.answer != null && c.answer.startsWith("UP ")).count();
        clients.forEach(Client::leave);
        String counts = "outages " + (trouble ? ROUNDS : 0) + ", servers that drained " + drained.size()
                + ", tries sent to them after the grace " + tries + " " + broken + "; clients " + clients.size() + ", opened "
                + opened;
        if (opened < clients.size() / 2) {
            Case.end(Case.NOT_RUN, "the case could not run: " + counts);
        }
        Case.end(tries > 0 ? Case.BROKEN : Case.HELD, (tries > 0 ? "rule broken: " : "rule held: ") + counts);
    }

    private static void comeAndGo(Relay relay, List<Client> clients, AtomicBoolean coming) {
        String[] profiles = {"status", "total", "board"};
        int[] timeouts = {1200, 2000, 3200};
        for (int i = 0; coming.get(); i++) {
            Client client = new Client(relay.label + "-c" + i, relay, profiles[i % 3], timeouts[i % 3]);
            Net.daemon(
                    () -> {
                        clients.add(client);
                        if (client.open()) {
                            Net.sleep(TUNNEL_SECONDS);
                            client.leave();
                        }
                    });
            Net.sleep(NEW_CLIENT_EVERY_SECONDS);
        }
    }
}
