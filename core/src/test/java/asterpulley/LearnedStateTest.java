package asterpulley;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A successor process takes over the learned state, so that it need not decline tunnels until it
 * has learned again.
 */
class LearnedStateTest {
    /** A frontend that only records decisions. */
    static final class RecordingFrontend implements Frontend {
        double now = 1;
        final List<String> setups = new ArrayList<>();
        int declined, failed;

        @Override
        public double now() {
            return now;
        }

        @Override
        public void sendSetup(LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
            setups.add(serverName);
        }

        @Override
        public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
            declined++;
        }

        @Override
        public void closeWithError(LoadBalancer.Tunnel tunnel) {
            failed++;
        }

        @Override
        public void move(LoadBalancer.Tunnel tunnel) {}

        @Override
        public void probe(String serverName) {}

        @Override
        public void watchServerList() {}

        @Override
        public void scheduleTimer(double delay, long token) {}

        @Override
        public void log(String line) {}
    }

    private static LoadBalancer loadBalancer(RecordingFrontend frontend) {
        Settings settings = new Settings();
        settings.profiles.add(new Settings.Profile());
        settings.relayCount = 2;
        LoadBalancer loadBalancer = new LoadBalancer(settings, 1, frontend);
        loadBalancer.onServerList(
                List.of(
                        new ServerEntry(
                                "a", 0, 0, 0, ServerEntry.State.RUNNING, Double.NEGATIVE_INFINITY)),
                true);
        return loadBalancer;
    }

    /**
     * Returns how many of 30 simultaneous tunnels are placed on a server of which one report is
     * known.
     */
    private static int placedTunnels(double[] learned) {
        RecordingFrontend frontend = new RecordingFrontend();
        LoadBalancer loadBalancer = loadBalancer(frontend);
        assertTrue(learned == null || loadBalancer.importLearnedState(learned));
        LoadReport emptyReport = new LoadReport();
        emptyReport.load = 0;
        loadBalancer.onProbeResult("a", Outcome.OK, emptyReport);
        for (int i = 0; i < 30; i++) {
            loadBalancer.openTunnel(i, 0, 0, null, null, 0, false).onOpened(0, 0.01);
        }
        assertEquals(30, frontend.setups.size() + frontend.declined + frontend.failed);
        return frontend.setups.size();
    }

    @Test
    void successorKnowsServerCapacity() {
        RecordingFrontend frontend = new RecordingFrontend();
        LoadBalancer predecessor = loadBalancer(frontend);
        LoadReport report = new LoadReport();
        report.load = 0.5;
        report.openTunnels = 100;
        for (int i = 0; i < 5; i++) {
            predecessor.onProbeResult("a", Outcome.OK, report);
        }
        double[] learned = predecessor.exportLearnedState();
        LoadBalancer successor = loadBalancer(new RecordingFrontend());
        assertTrue(successor.importLearnedState(learned));
        assertArrayEquals(learned, successor.exportLearnedState());
        assertTrue(
                placedTunnels(null) < 15,
                "a capacity of 25 mean loads is assumed: " + placedTunnels(null));
        assertEquals(30, placedTunnels(learned));
    }

    @Test
    void malformedStateIsRejected() {
        LoadBalancer loadBalancer = loadBalancer(new RecordingFrontend());
        double[] before = loadBalancer.exportLearnedState();
        assertFalse(loadBalancer.importLearnedState(new double[3]));
        for (double wrong : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY}) {
            double[] state = before.clone();
            state[5] = wrong;
            assertFalse(loadBalancer.importLearnedState(state));
        }
        assertTrue(Arrays.equals(before, loadBalancer.exportLearnedState()));
    }
}
