package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against second effects of referenced tunnels after a decline: a client that is told to
 * retry must arrive while the servers still remember its first setup.
 */
@Timeout(60)
class RetryWindowTest extends RelayFixture {
    private static final int CLIENT_TIMEOUT_MS = 500;

    private Config configWithWindow(
            int windowMs, String scope, UnaryOperator<String> edit, Backend backend)
            throws Exception {
        String effect =
                "\"effect\":\"idempotency_key\",\"group\":\"%s\",\"windowMs\":%d"
                        .formatted(scope, windowMs);
        return createConfig(
                json ->
                        edit.apply(json)
                                .replace("\"effect\":\"non_idempotent\"", effect)
                                .replace("\"setupGoalMs\":2000", "\"setupGoalMs\":300")
                                .replace("\"mostSetups\":4", "\"mostSetups\":1"),
                1000,
                backend.listEntry("s1", "up"));
    }

    private void startRelayWithWindow(int windowMs, String scope, int relayCount, Backend backend)
            throws Exception {
        startRelay(
                configWithWindow(
                        windowMs,
                        scope,
                        json -> json.replace("\"siblings\":1", "\"siblings\":" + relayCount),
                        backend));
    }

    private TestConnection connectRetry(String key, boolean marked) throws Exception {
        TestConnection client = connect();
        client.send(
                "OPEN %x %s c=pay,t=acme,d=%d%s\r\n"
                        .formatted(++clientCount, key, CLIENT_TIMEOUT_MS, marked ? ",r=1" : ""));
        return client;
    }

    /** Opens so many tunnels that a failure alone does not keep further ones from the server. */
    private void openTunnels(Backend backend) throws Exception {
        for (int i = 0; i < 8; i++) {
            TestConnection client = connectRetry("c" + i, false);
            backend.openNextTunnel();
            assertEquals("UP r1", client.readLine());
        }
    }

    /** The answer to a tunnel whose only setup a server takes and never answers. */
    private String answerOfHungServer(Backend backend) throws Exception {
        TestConnection client = connectRetry("a1", false);
        backend.awaitTunnel();
        return client.readLine();
    }

    @Test
    void closesWithErrorWhereRetryWouldBeTooLate() throws Exception {
        Backend backend = new Backend();
        startRelayWithWindow(650, "all", 1, backend);
        assertEquals("ERR", answerOfHungServer(backend));
    }

    @Test
    void declinesWithAdviceWithinTheWindow() throws Exception {
        Backend backend = new Backend();
        startRelayWithWindow(1000, "all", 1, backend);
        String answer = answerOfHungServer(backend);
        assertTrue(answer.matches("BUSY [0-9]+"), answer);
        int advisedMs = Integer.parseInt(answer.substring("BUSY ".length()));
        assertTrue(advisedMs >= 1 && CLIENT_TIMEOUT_MS + advisedMs < 1000, answer);
    }

    @Test
    void closesWithErrorWhereOnlyTheZoneKnowsTheKey() throws Exception {
        Backend backend = new Backend();
        startRelayWithWindow(60_000, "zone", 1, backend);
        assertEquals("ERR", answerOfHungServer(backend));
    }

    @Test
    void keepsTheWindowOfTheFirstTunnelOverRetries() throws Exception {
        Backend backend = new Backend();
        startRelayWithWindow(1150, "all", 1, backend);
        openTunnels(backend);
        String answer = answerOfHungServer(backend);
        assertTrue(answer.startsWith("BUSY"), answer);
        TestConnection retry = connectRetry("a1", true);
        backend.awaitTunnel();
        assertEquals("ERR", retry.readLine(), "a second retry would be after the first window");
    }

    @Test
    void marksOfClientsCountWhereSiblingsMayHaveSentTheirTunnels() throws Exception {
        Backend backend = new Backend();
        startRelayWithWindow(60_000, "all", 2, backend);
        openTunnels(backend);
        TestConnection retry = connectRetry("b2", true);
        backend.awaitTunnel();
        assertEquals("ERR", retry.readLine());
        assertTrue(answerOfHungServer(backend).startsWith("BUSY"), "not a retry");
    }

    /** After the end of this process no other one knows when the window began. */
    @Test
    void shutdownClosesWithErrorWhereAnotherProcessMaySendTooLate() throws Exception {
        for (int windowMs : new int[] {2000, 60_000}) {
            Backend backend = new Backend();
            startRelayWithWindow(windowMs, "all", 1, backend);
            TestConnection client = connectRetry("a1", false);
            backend.awaitTunnel();
            relay.beginShutdown();
            String answer = client.readLine();
            assertTrue(answer.startsWith(windowMs == 2000 ? "ERR" : "BUSY"), answer);
        }
    }

    @Test
    void quiescedRelayKeepsToTheWindow() throws Exception {
        for (int windowMs : new int[] {700, 60_000}) {
            Backend backend = new Backend();
            Config config =
                    configWithWindow(
                            windowMs,
                            "all",
                            json ->
                                    json.replace(
                                            "\"seed\"", "\"operator\":\"127.0.0.1:0\",\"seed\""),
                            backend);
            relay = new RelayInstance(config, stateFolder());
            resources.add(relay::kill);
            discovery.publish(41);
            relay.open();
            TestConnection client = connectRetry("a1", false);
            backend.awaitTunnel();
            assertTrue(postToOperatorApi("quiesce").contains(" 200 "));
            String answer = client.readLine();
            assertTrue(answer.startsWith(windowMs == 700 ? "ERR" : "BUSY"), answer);
        }
    }

    /** A client that retries in time, and finds no socket free, is not told to retry too late. */
    @Test
    void noSocketsLeftKeepsToTheWindowOfTheFirstTunnel() throws Exception {
        Backend backend = new Backend();
        startRelayWithWindow(1000, "all", 1, backend);
        String answer = answerOfHungServer(backend);
        assertTrue(answer.startsWith("BUSY"), answer);
        relay.applyConfig(createConfig(48, backend.listEntry("s1", "up")));
        awaitCounter("configurations", 1);
        // A retry by now can't be in time, although the servers still remember the first tunnel.
        Thread.sleep(350);
        TestConnection retry = connectRetry("a1", true);
        assertEquals("ERR", retry.readLine());
        TestConnection other = connectRetry("d4", false);
        assertTrue(other.readLine().startsWith("BUSY"));
        assertTrue(counterValue("declined_no_sockets") >= 2);
    }
}
