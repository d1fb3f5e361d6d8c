package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Hard cases of a fleet that changes at once, on sockets: what a list replaces, a rush, a list
 * service that refuses.
 */
class FleetTest extends RelayStage {
    private void opened(int tunnels) throws Exception {
        for (int i = 0; i < tunnels; i++) {
            assertEquals("UP r1", client("chat", 3000).line());
        }
    }

    @Test
    void aListThatReplacesSixInTenAtOnceHoldsFromThenOn() throws Exception {
        List<String> before = new ArrayList<>(), after = new ArrayList<>();
        List<Backend> gone = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Backend b = new Backend();
            b.opensAll();
            before.add(b.entry("s" + i, "up"));
            if (i < 4) {
                after.add(b.entry("s" + i, "up"));
            } else {
                gone.add(b);
                Backend anew = new Backend();
                anew.opensAll();
                after.add(
                        anew.entry("n" + i, "up")
                                .replace(
                                        "\"born_ms\":0",
                                        "\"born_ms\":" + System.currentTimeMillis()));
            }
        }
        start(before.toArray(String[]::new));
        opened(10);
        registry.calls.take();
        registry.tells(42, true, after.toArray(String[]::new));
        assertTrue(registry.calls.take().startsWith("/registry/instances?index=42&"));
        int[] had = gone.stream().mapToInt(b -> b.openings.size()).toArray();
        opened(20);
        for (int i = 0; i < had.length; i++) {
            assertEquals(
                    had[i], gone.get(i).openings.size(), "nothing new to what the list dropped");
        }
        assertEquals(0, counted("declined"));
    }

    @Test
    void aRushWaitsForTheWindowAndIsServedWhole() throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        List<End> rush = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            rush.add(client("chat", 3000));
        }
        await("taken", 12);
        await("setups", 1);
        b.opensAll();
        for (End client : rush) {
            assertEquals("UP r1", client.line());
        }
        assertEquals(0, counted("declined"));
    }

    @Test
    void aStartWithAnEmptyListWhileTheListServiceRefusesDeclinesAtOnceAndServesWithTheFirstList()
            throws Exception {
        Backend b = new Backend();
        b.opensAll();
        start();
        registry.answers.add("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        registry.calls.take();
        await("list_failures", 1);
        assertTrue(client("chat", 3000).line().matches("BUSY \\d+"));
        registry.tells(42, true, b.entry("s1", "up"));
        registry.calls.take();
        assertTrue(registry.calls.take().startsWith("/registry/instances?index=42&"));
        opened(3);
    }
}
