package asterpulley.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests what the adapter reports for malformed input, and that equal input gives equal bytes. */
class DrillTest {
    private static final String START =
            "{\"momentMs\":1000,\"batch\":1,\"later\":[{}],\"groups\":[{\"i\":0,\"input\":["
                    + "{\"op\":\"Enlist\",\"entropy\":7,\"profileData\":{\"novel\":{},\"profiles\":[{\"effect\":\"read_like\"}],"
                    + "\"limits\":{\"probes\":true,\"mostSetups\":3,\"retryAfter\":true,\"maxRetryAfterMs\":900}}},"
                    + "{\"op\":\"List\",\"bank\":2,\"entries\":[{\"backend\":\"10.0.0.1:1\",\"site\":0,\"shape\":0,\"cell\":0,"
                    + "\"health\":\"Running\",\"heft\":1,\"cameUpMs\":null}]},"
                    + "{\"op\":\"Announce\",\"mode\":\"C\",\"epoch\":1,\"bank\":2}]}]}\n";
    private static final String ORDER =
            "{\"momentMs\":1004,\"batch\":2,\"groups\":[{\"i\":0,\"input\":[{\"op\":\"Order\","
                    + "\"xid\":5,\"class\":%s,\"timeBudgetMs\":900}]}]}\n";

    private static final String ANSWER =
            "{\"momentMs\":1008,\"batch\":3,\"groups\":[{\"i\":0,\"input\":[{\"op\":\"Pong\","
                    + "\"backend\":\"10.0.0.1:1\",\"result\":\"Ok\",\"lagMs\":2,\"pressure\":{\"x0\":0.5}}]}]}\n";

    private String out;
    private String err;

    private int drill(String input) throws IOException {
        ByteArrayOutputStream stdout = new ByteArrayOutputStream();
        ByteArrayOutputStream stderr = new ByteArrayOutputStream();
        int status =
                Drill.run(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(stdout),
                        new PrintStream(stderr));
        out = stdout.toString(StandardCharsets.UTF_8);
        err = stderr.toString(StandardCharsets.UTF_8);
        return status;
    }

    @Test
    void sameInputGivesSameBytes() throws IOException {
        assertEquals(0, drill(START + ORDER.formatted("0") + ANSWER));
        String first = out;
        assertTrue(first.contains("{\"op\":\"Attempt\",\"xid\":5,"), first);
        drill(START + ORDER.formatted("0") + ANSWER);
        assertEquals(first, out);
        assertEquals("", err);
    }

    @Test
    void killedInstanceForgetsItsTunnelsEvenIfRestartedInTheSameBatch() throws IOException {
        String again = START.substring(START.indexOf("{\"op\":\"Enlist\""));
        String order = ORDER.formatted("0").strip();
        String batch = order.substring(0, order.length() - 4) + ",{\"op\":\"Halt\"}," + again;
        String late =
                "{\"momentMs\":1008,\"batch\":3,\"groups\":[{\"i\":0,\"input\":[{\"op\":\"Resolved\",\"xid\":5,"
                        + "\"hop\":0,\"backend\":\"10.0.0.1:1\",\"result\":\"TimedOut\",\"noMore\":false}]}]}\n";
        assertEquals(0, drill(START + batch + late), err);
        assertTrue(!out.contains("\"xid\""), out);
        assertEquals(3, out.lines().count());
    }

    @Test
    void malformedInputIsReportedWithItsBatch() throws IOException {
        String batch =
                "{\"momentMs\":1004,\"batch\":2,\"groups\":[{\"i\":%s,\"input\":[{\"op\":\"%s\",\"mode\":\"F\","
                        + "\"bank\":9,\"xid\":1}]}]}\n";
        String[][] cases = {
            {"{\"momentMs\":", "not JSON"},
            {"7\n", "a batch is not an object"},
            {"{}\n", "field batch"},
            {batch.formatted("0", "Novel"), "unknown event Novel"},
            {batch.formatted("0", "Announce"), "list number 9 was never declared"},
            {batch.formatted("4", "Withdrawn"), "instance 4, which is not started"}
        };
        for (String[] testCase : cases) {
            assertEquals(1, drill(START + testCase[0]), testCase[0]);
            assertTrue(
                    err.startsWith("asterpulley drill: batch ") && err.contains(testCase[1]), err);
            assertEquals(1, err.lines().count());
            assertEquals(1, out.lines().count(), out);
        }
    }

    @Test
    void exceptionInTheLoadBalancerIsReportedAsPanic() throws IOException {
        assertEquals(0, drill(START + ORDER.formatted("99")));
        assertTrue(out.contains("\"op\":\"Panic\""), out);
    }
}
