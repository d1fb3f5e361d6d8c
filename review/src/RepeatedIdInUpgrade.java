import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Case: while a relay is upgraded, a bad client opens with the id of another client's open request. It may not be
 * served, and to the rules both processes are one relay.
 */
final class RepeatedIdInUpgrade {
    private static final int CLIENTS = 24;
    private static final double KILL_AFTER_SECONDS = 3.7;

    private RepeatedIdInUpgrade() {}

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[1]));
        Discovery discovery = new Discovery();
        FeedServer[] servers = new FeedServer[4];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = new FeedServer("s-" + i, i % 2 == 0 ? "room-a" : "room-b", 0, 0);
            discovery.set(servers[i].host, servers[i].entry("up"));
        }
        int port = Net.freePort();
        int oldDoor = Net.freePort();
        int newDoor = Net.freePort();
        String known = discovery.whole();
        Relay old =
                Relay.start("old", port, oldDoor,
                        Relay.config("n0", port, oldDoor, discovery.port(), known, Settings.json(2)),
                        folder, folder.resolve("tmp"));
        if (!old.awaitHealth(30)) {
            Case.end(Case.NOT_RUN, "the case could not run: the relay was not ready");
        }
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client("c" + i, old, "replay", 3200);
            if (client.open()) {
                clients.add(client);
            }
            Net.sleep(0.2);
        }
        if (clients.size() < CLIENTS / 2) {
            Case.end(Case.NOT_RUN, "the case could not run: only " + clients.size() + " of " + CLIENTS + " are up");
        }
        Relay young = null;
        if (trouble) {
            young =
                    Relay.start("new", port, newDoor,
                            Relay.config("n0", port, newDoor, discovery.port(), known, Settings.json(2)),
                            folder, folder.resolve("tmp"));
            if (!young.awaitHealth(30)) {
                Case.end(Case.NOT_RUN, "the case could not run: the new process did not say yes");
            }
            old.signal("TERM");
        }
        double termAt = Record.now();
        Net.sleep(0.1);
        int tried = 0;
        int served = 0;
        for (Client victim : clients) {
            Client bad = new Client("bad-" + victim.name, old, "replay", 3200, victim.id);
            double sentAt = Record.now();
            boolean up = bad.open();
            // Only where the other client's request was still open when this one had its answer.
            if (victim.end == null || victim.endedAt > Record.now()) {
                tried++;
                served += up ? 1 : 0;
                if (up) {
                    Record.line("bad client was served with the id " + victim.id + " of client " + victim.name
                            + ", whose request stands (" + victim.answer + "); sent at "
                            + String.format(Locale.ROOT, "%.3f", sentAt));
                }
            }
            bad.leave();
        }
        while (trouble && old.process.isAlive() && Record.now() < termAt + KILL_AFTER_SECONDS) {
            Net.sleep(0.02);
        }
        if (trouble) {
            old.kill();
        }
        String counts = "bad clients that opened with an id whose request stood " + tried + ", served " + served;
        clients.forEach(Client::leave);
        if (tried == 0) {
            Case.end(Case.NOT_RUN, "the case could not run: " + counts);
        }
        Case.end(served > 0 ? Case.BROKEN : Case.HELD, (served > 0 ? "rule broken: " : "rule held: ") + counts);
    }
}
