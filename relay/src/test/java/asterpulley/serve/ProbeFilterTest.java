package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Probes of a backend's load in conflict with other events: their timeout, the next probe, and the
 * close of an idle probe connection. Guards against an event of one probe that ends the next, and
 * against a backend that is blamed for closing an idle connection.
 */
@Timeout(60)
class ProbeFilterTest extends RelayFixture {

    @Test
    void connectOfAnEarlierProbeDoesNotSettleTheNext() throws Exception {
        Backend backend = new Backend();
        SaturatedListener saturated = new SaturatedListener();
        // The probe timeout is the shorter setup goal, and so is the connect timeout: both end in
        // the same loop iteration. A tunnel with the longer goal waits for the answer and has the
        // backend probed again in that iteration.
        startRelay(
                createConfig(
                        json ->
                                json.replaceFirst("\"setupGoalMs\":2000", "\"setupGoalMs\":300")
                                        .replaceFirst(
                                                "\"setupGoalMs\":2000", "\"setupGoalMs\":5000")
                                        .replace(
                                                "\"clientTimeoutMs\":3000",
                                                "\"clientTimeoutMs\":9000"),
                        1000,
                        saturated.listEntry(backend, "s1")));
        TestConnection client = connectClient("pay", 9000);
        awaitCounter("probes_given_up", 2);
        assertEquals(
                0,
                counterValue("probes_broken"),
                "each probe has its own timeout, and nothing else ended one");
        long probes = counterValue("probes");
        assertTrue(probes <= counterValue("probes_given_up") + 1, "one probe at a time: " + probes);
        client.close();
    }

    @Test
    void probesAgainAfterIdleCloseWithoutBlamingTheBackend() throws Exception {
        Backend backend = new Backend();
        startRelay(backend.listEntry("s1", "up"));
        for (int i = 0; i < 5; i++) {
            long answered = counterValue("probes_answered");
            awaitCounter("probes_answered", answered + 1);
            Runnable resume = pauseEventLoop();
            backend.closeProbeConnections();
            resume.run();
        }
        long answered = counterValue("probes_answered");
        awaitCounter("probes_answered", answered + 1);
        assertEquals(0, counterValue("probes_broken") + counterValue("probes_given_up"));
    }
}
