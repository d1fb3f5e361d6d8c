package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Sudden changes on real sockets: a server list that replaces most servers, a burst of clients, and
 * a start with an empty list while discovery refuses requests. Guards against tunnels that still go
 * to removed servers, and against clients that are declined although they can be served.
 */
class ServerListChangeTest extends RelayFixture {
    private void assertTunnelsOpen(int tunnels) throws Exception {
        for (int i = 0; i < tunnels; i++) {
            assertEquals("UP r1", connectClient("chat", 3000).readLine());
        }
    }

    @Test
    void listReplacingMostServersTakesEffectAtOnce() throws Exception {
        List<String> before = new ArrayList<>(), after = new ArrayList<>();
        List<Backend> removed = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Backend backend = new Backend();
            backend.openAllTunnels();
            before.add(backend.listEntry("s" + i, "up"));
            if (i < 4) {
                after.add(backend.listEntry("s" + i, "up"));
            } else {
                removed.add(backend);
                Backend replacement = new Backend();
                replacement.openAllTunnels();
                after.add(
                        replacement
                                .listEntry("n" + i, "up")
                                .replace(
                                        "\"born_ms\":0",
                                        "\"born_ms\":" + System.currentTimeMillis()));
            }
        }
        startRelay(before.toArray(String[]::new));
        assertTunnelsOpen(10);
        discovery.requests.take();
        discovery.publish(42, true, after.toArray(String[]::new));
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=42&"));
        int[] requestsBefore =
                removed.stream().mapToInt(backend -> backend.openRequests.size()).toArray();
        assertTunnelsOpen(20);
        for (int i = 0; i < requestsBefore.length; i++) {
            assertEquals(
                    requestsBefore[i],
                    removed.get(i).openRequests.size(),
                    "no new tunnels to servers that the list dropped");
        }
        assertEquals(0, counterValue("declined"));
    }

    @Test
    void burstBeyondTheSetupWindowIsFullyServed() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(connectClient("chat", 3000));
        }
        awaitCounter("taken", 12);
        awaitCounter("setups", 1);
        backend.openAllTunnels();
        for (TestConnection client : clients) {
            assertEquals("UP r1", client.readLine());
        }
        assertEquals(0, counterValue("declined"));
    }

    @Test
    void declinesWithAnEmptyListUntilTheFirstListArrives() throws Exception {
        Backend backend = new Backend();
        backend.openAllTunnels();
        startRelay();
        discovery.responses.add("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        discovery.requests.take();
        awaitCounter("list_failures", 1);
        assertTrue(connectClient("chat", 3000).readLine().matches("BUSY \\d+"));
        discovery.publish(42, true, backend.listEntry("s1", "up"));
        discovery.requests.take();
        assertTrue(discovery.requests.take().startsWith("/registry/instances?index=42&"));
        assertTunnelsOpen(3);
    }
}
