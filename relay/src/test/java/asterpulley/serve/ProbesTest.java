package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Questions for a backend's load, and what meets them: their patience, the next question, the end
 * of an idle connection.
 */
@Timeout(60)
class ProbesTest extends RelayStage {

    @Test
    void aDialOfAnEarlierQuestionDoesNotSettleTheNext() throws Exception {
        Backend b = new Backend();
        Gate gate = new Gate();
        // Patience is the shorter goal, and so is the time to connect: both end in one turn, and a
        // tunnel of the longer
        // goal, which waits for the answer, has the backend asked again in that very turn.
        start(
                config(
                        told ->
                                told.replaceFirst("\"setupGoalMs\":2000", "\"setupGoalMs\":300")
                                        .replaceFirst(
                                                "\"setupGoalMs\":2000", "\"setupGoalMs\":5000")
                                        .replace(
                                                "\"clientTimeoutMs\":3000",
                                                "\"clientTimeoutMs\":9000"),
                        1000,
                        gate.in(b, "s1")));
        End client = client("pay", 9000);
        await("probes_given_up", 2);
        assertEquals(
                0,
                counted("probes_broken"),
                "each question has its own patience, and nothing else ended one");
        long asked = counted("probes");
        assertTrue(asked <= counted("probes_given_up") + 1, "one question at a time: " + asked);
        client.close();
    }

    @Test
    void aConnectionThatIsClosedAsIdleInTheTurnOfTheQuestionIsAskedAnewAndBlamesNobody()
            throws Exception {
        Backend b = new Backend();
        start(b.entry("s1", "up"));
        for (int i = 0; i < 5; i++) {
            long answered = counted("probes_answered");
            await("probes_answered", answered + 1);
            Runnable on = pause();
            b.hangUpProbes();
            on.run();
        }
        long answered = counted("probes_answered");
        await("probes_answered", answered + 1);
        assertEquals(0, counted("probes_broken") + counted("probes_given_up"));
    }
}
