import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case: a planned restart of a relay whose servers' lines come in pieces. Every client has to be told MOVE. */
final class PiecesAtRestart {
    private static final int CLIENTS = 16, BLOCK_BYTES = 1024;
    private static final double READING_EVERY_SECONDS = 0.01;

    /** The longest client timeout, 3 s at most, and 0.7 s: the platform kills no sooner. */
    private static final double KILL_AFTER_SECONDS = 3.7;

    private PiecesAtRestart() {}

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[1]));
        Discovery discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            FeedServer server =
                    new FeedServer("s-" + i, i % 2 == 0 ? "room-a" : "room-b", BLOCK_BYTES, 0, READING_EVERY_SECONDS);
            discovery.set(server.host, server.entry("up"));
        }
        Relay[] relays = new Relay[2];
        for (int i = 0; i < relays.length; i++) {
            int port = Net.freePort();
            String config =
                    Relay.config("n" + i, port, 0, discovery.port(), discovery.whole(), Settings.json(relays.length));
            relays[i] = Relay.start("n" + i, port, 0, config, folder, folder.resolve("tmp" + i));
        }
        for (Relay relay : relays) {
            if (!relay.awaitReady(30)) {
                Case.end(Case.NOT_RUN, "the case could not run: relay " + relay.label + " was not ready");
            }
        }
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client("c" + i, relays[0], "replay", 3200);
            if (client.open()) {
                clients.add(client);
            }
            Net.sleep(0.2);
        }
        if (clients.size() < CLIENTS / 2) {
            Case.end(Case.NOT_RUN, "the case could not run: only " + clients.size() + " of " + CLIENTS + " are up");
        }
        Net.sleep(5);
        long early = clients.stream().filter(Client::cutOff).count();
        double restartAt = Record.now();
        if (trouble) {
            relays[0].signal("TERM");
            while (relays[0].process.isAlive() && Record.now() < restartAt + KILL_AFTER_SECONDS) {
                Net.sleep(0.02);
            }
            Record.line("relay n0 " + (relays[0].process.isAlive() ? "still runs" : "has ended by itself") + " after "
                    + Math.round((Record.now() - restartAt) * 1000) + " ms");
            relays[0].kill();
        } else {
            Net.sleep(KILL_AFTER_SECONDS);
        }
        Net.sleep(0.5);
        long cut = clients.stream().filter(Client::cutOff).count();
        long moved = clients.stream().filter(c -> "moved".equals(c.end)).count();
        long standing = clients.stream().filter(c -> c.end == null).count();
        clients.stream().filter(c -> c.end == null).forEach(Client::leave);
        String counts = "up " + clients.size() + ", told MOVE " + moved + ", cut off without MOVE " + cut + " (before the "
                + "restart " + early + "), still standing " + standing;
        if (cut > 0) {
            Case.end(Case.BROKEN, "rule broken: " + counts);
        }
        Case.end(Case.HELD, "rule held: " + counts);
    }
}
