import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case: a relay's clients are cut off for some seconds, while servers go on streaming to them. */
final class SilentClients {
    private static final int SERVERS = 12, CLIENTS = 240, MEMORY_MB = 64;

    /** A line with its end stays under 4 KiB. */
    private static final int READING_BYTES = 3900;

    private static final double READING_EVERY_SECONDS = 0.015, SILENT_SECONDS = 19;
    private static final int RECEIVE_BYTES = 8192;

    private SilentClients() {}

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[1]));
        Discovery discovery = new Discovery();
        for (int i = 0; i < SERVERS; i++) {
            FeedServer server =
                    new FeedServer("s-" + i, i % 2 == 0 ? "room-a" : "room-b", 4096, READING_BYTES, READING_EVERY_SECONDS);
            discovery.set(server.host, server.entry("up"));
        }
        int port = Net.freePort();
        Relay relay =
                Relay.start("n0", port, 0,
                        Relay.config("n0", port, 0, discovery.port(), discovery.whole(), Settings.json(2), MEMORY_MB),
                        folder, folder.resolve("tmp"));
        if (!relay.awaitReady(30)) {
            Case.end(Case.NOT_RUN, "the case could not run: the relay was not ready");
        }
        List<Client> clients = new ArrayList<>();
        double openUntil = Record.now() + 40;
        for (int i = 0; clients.size() < CLIENTS && Record.now() < openUntil && relay.process.isAlive(); i++) {
            Client client = new Client("c" + i, relay, "replay", 3200);
            client.receiveBytes = RECEIVE_BYTES;
            if (client.open()) {
                clients.add(client);
            }
            Net.sleep(0.05);
        }
        Net.sleep(3);
        long early = clients.stream().filter(Client::cutOff).count();
        if (clients.size() < CLIENTS || !relay.process.isAlive()) {
            Case.end(Case.NOT_RUN, "the case could not run: up " + clients.size() + ", the relay runs: "
                    + relay.process.isAlive());
        }
        if (trouble) {
            double until = Record.now() + SILENT_SECONDS;
            clients.forEach(client -> client.silentUntil = until);
            Record.line("all clients are cut off for " + SILENT_SECONDS + " s");
        }
        double end = Record.now() + SILENT_SECONDS;
        while (Record.now() < end && relay.process.isAlive()) {
            Net.sleep(0.05);
        }
        Record.line("relay n0 " + (relay.process.isAlive() ? "runs" : "has ended, status " + relay.process.exitValue()));
        clients.forEach(client -> client.silentUntil = 0);
        Net.sleep(5);
        boolean alive = relay.process.isAlive();
        long cut = clients.stream().filter(Client::cutOff).count();
        String counts = "up " + clients.size() + ", relay " + (alive ? "runs" : "ended with status "
                + relay.process.exitValue()) + ", connections cut off without MOVE " + cut + " (before the silence " + early
                + ")";
        clients.forEach(Client::leave);
        Case.end(alive ? Case.HELD : Case.BROKEN, (alive ? "rule held: " : "rule broken: ") + counts);
    }
}
