package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients of ever new groups at a relay of many servers, with long waits and long names. Guards
 * against a heap that is filled by what the relay remembers of clients that have left.
 */
@Timeout(120)
class GroupMemoryTest extends RelayFixture {
    private static final int HEAP_MB = 20, SERVERS = 1000, CLIENTS = 6000, NAME_LENGTH = 600;

    /** Groups share work; nothing is probed, since all servers are one listener. */
    private static final UnaryOperator<String> GROUPS =
            json ->
                    json.replace(
                                    "\"siblings\":1",
                                    "\"siblings\":1,\"familyInfo\":{\"mode\":\"proxy\",\"groups\":true}")
                            .replace("\"probes\":true", "\"probes\":false");

    @Test
    void clientsOfManyGroupsDoNotExhaustTheHeap() throws Exception {
        Backend backend = new Backend();
        runInBackground(
                () -> {
                    while (true) {
                        TestConnection tunnel = backend.openNextTunnel();
                        tunnel.readLine();
                        tunnel.close();
                    }
                });
        String[] entries = new String[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            entries[i] = backend.listEntry("s" + i, "up");
        }
        createConfig(GROUPS, 1000, entries);
        SmallHeapRelay relayProcess = new SmallHeapRelay(HEAP_MB);
        int opened = 0;
        for (int i = 0; i < CLIENTS; i++) {
            opened += open(relayProcess, i) ? 1 : 0;
            assertTrue(relayProcess.process.isAlive(), relayProcess.log());
        }
        assertTrue(opened > CLIENTS / 2, "only " + opened);
    }

    private boolean open(SmallHeapRelay relayProcess, int number) throws IOException {
        String group = "g".repeat(NAME_LENGTH) + number;
        try (TestConnection client =
                new TestConnection(
                        new Socket(
                                relayProcess.address.getAddress(),
                                relayProcess.address.getPort()))) {
            client.send(
                    "OPEN %x %x c=chat,t=acme,d=9999999999,g=%s\r\n"
                            .formatted(number + 1, number, group));
            return "UP r1".equals(client.readLine());
        }
    }
}
