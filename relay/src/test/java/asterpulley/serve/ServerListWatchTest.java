package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The long poll for the server list under faults: silent and refused requests, a change of address
 * while a request is pending, and a start with an outdated list. Guards against relays that read a
 * change after it counts as known to them, or that use the list of an address they have left.
 */
@Timeout(60)
class ServerListWatchTest extends RelayFixture {
    private static final String SERVICE_UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    @Test
    void reopensSilentWatchBeforeMissedChangesCount() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        startRelay(one.listEntry("s1", "up"), two.listEntry("s2", "up"));
        assertEquals("/registry/instances?index=41&wait=10000", discovery.requests.take());
        long since = System.nanoTime();
        // The headers arrive, and nothing after them.
        discovery.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
        String nextRequest = discovery.requests.poll(20, TimeUnit.SECONDS);
        double silentSeconds = (System.nanoTime() - since) / 1e9;
        assertEquals(
                "/registry/instances?index=41&wait=1",
                nextRequest,
                "it continues from the last version and asks at once");
        assertTrue(
                silentSeconds > 10 && silentSeconds < 11.4,
                "the long poll takes 10 s, and missed changes count from 12 s on: "
                        + silentSeconds);
        assertEquals(1, counterValue("list_failures"));
    }

    /**
     * After a move to another address, a change counts as known to the relay within 4 s, even if
     * the first request there stays silent.
     */
    @Test
    void retriesSilentRequestWithinFourSecondsAfterAMove() throws Exception {
        Backend one = new Backend();
        startRelay(one.listEntry("s1", "up"));
        discovery.requests.take();
        createConfig(1000);
        long since = System.nanoTime();
        relay.reload(() -> Config.readJson(folder.resolve("config.json")));
        assertEquals("/registry/instances", discovery.requests.take());
        discovery.responses.add("HTTP/1.1 200 OK\r\n");
        assertEquals("/registry/instances", discovery.requests.poll(20, TimeUnit.SECONDS));
        double silentSeconds = (System.nanoTime() - since) / 1e9;
        assertTrue(
                silentSeconds < 3.7, "a silent request has a timeout of its own: " + silentSeconds);
    }

    @Test
    void closedKeepAliveConnectionDoesNotEndTheWatch() throws Exception {
        Backend one = new Backend();
        startRelay(one.listEntry("s1", "up"));
        discovery.requests.take();
        discovery.publish(42);
        assertEquals("/registry/instances?index=42&wait=10000", discovery.requests.take());
        // Closes the connection without an answer.
        discovery.responses.add("");
        assertEquals(
                "/registry/instances?index=42&wait=10000",
                discovery.requests.take(),
                "the long poll continues as before");
        assertEquals(0, counterValue("list_failures"));
        // On a new connection the same counts as a failure of the service.
        discovery.responses.add("");
        assertEquals("/registry/instances?index=42&wait=1", discovery.requests.take());
        assertEquals(1, counterValue("list_failures"));
    }

    @Test
    void lastOfTwoMovesInOneIterationWins() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        Config oldConfig = createConfig(1000, one.listEntry("s1", "up"));
        startRelay(oldConfig);
        discovery.requests.take();
        StubDiscovery oldDiscovery = discovery;
        Config otherConfig = createConfig(1000);
        StubDiscovery otherDiscovery = discovery;
        Runnable resume = pauseEventLoop();
        relay.applyConfig(otherConfig);
        relay.applyConfig(oldConfig);
        resume.run();
        assertEquals("/registry/instances", oldDiscovery.requests.take());
        // The abandoned request takes a response of the stub too, and which of the two requests
        // gets which is chance.
        oldDiscovery.publish(7, true, two.listEntry("s2", "up"));
        oldDiscovery.publish(7, true, two.listEntry("s2", "up"));
        assertEquals("/registry/instances?index=7&wait=10000", oldDiscovery.requests.take());
        // A late answer of the other address must not be used either.
        otherDiscovery.publish(99, true, one.listEntry("s1", "up"));
        TestConnection client = connectClient("chat", 2000);
        two.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertTrue(one.tunnelConnections.isEmpty());
    }

    @Test
    void startWaitsForTheListWhereItIsPushed() throws Exception {
        Backend one = new Backend();
        Backend two = new Backend();
        Config config =
                createConfig(
                        json -> json.replace("\"subscribe\"", "\"automatic\""),
                        1000,
                        one.listEntry("s1", "up"));
        CompletableFuture<Void> started = new CompletableFuture<>();
        runInBackground(
                () -> {
                    try {
                        startRelay(config);
                        started.complete(null);
                    } catch (Exception e) {
                        started.completeExceptionally(e);
                    }
                });
        assertEquals("/registry/instances?index=41&wait=1", discovery.requests.take());
        assertTrue(!started.isDone(), "no client is accepted with the old list");
        discovery.publish(42, one.listEntry("s1", "draining"), two.listEntry("s2", "up"));
        started.get(20, TimeUnit.SECONDS);
        TestConnection client = connectClient("chat", 2000);
        two.openNextTunnel();
        assertEquals("UP r1", client.readLine());
        assertTrue(one.tunnelConnections.isEmpty());
        // While requests are refused, the relay must ask often enough to read the list within the
        // grace period of pushed changes once discovery recovers.
        discovery.requests.clear();
        for (int i = 0; i < 6; i++) {
            discovery.responses.add(SERVICE_UNAVAILABLE);
        }
        long since = 0;
        for (int i = 0; i < 6; i++) {
            discovery.requests.take();
            since = i == 3 ? System.nanoTime() : since;
        }
        double interval = (System.nanoTime() - since) / 1e9 / 2;
        assertTrue(
                interval < 0.45,
                "the grace period is 0.5 s, the interval of two requests was " + interval);
    }
}
