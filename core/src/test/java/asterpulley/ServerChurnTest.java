package asterpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a fleet whose servers are replaced under new names, and that grows by that. */
class ServerChurnTest {
    private static final int SERVERS = 20, ROLLS = 200;
    private static final double ROLL_INTERVAL_SECONDS = 100;

    private double now;
    private final Set<Integer> usedIndexes = new HashSet<>();
    private final List<String> setups = new ArrayList<>();
    private final Settings settings = new Settings();
    private final LoadBalancer loadBalancer = createLoadBalancer();

    private LoadBalancer createLoadBalancer() {
        settings.profiles.add(new Settings.Profile());
        settings.groupsShareWork = true;
        settings.warmUpTime = 1;
        return new LoadBalancer(
                settings,
                1,
                new Frontend() {
                    @Override
                    public double now() {
                        return now;
                    }

                    @Override
                    public void sendSetup(
                            LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
                        setups.add(serverName);
                    }

                    @Override
                    public boolean isEligible(
                            LoadBalancer.Tunnel tunnel, int serverIndex, String serverName) {
                        usedIndexes.add(serverIndex);
                        return true;
                    }

                    @Override
                    public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {}

                    @Override
                    public void closeWithError(LoadBalancer.Tunnel tunnel) {}

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
                });
    }

    private static List<ServerEntry> fleet(int roll) {
        List<ServerEntry> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(
                    new ServerEntry(
                            "s-" + roll + "-" + i,
                            0,
                            0,
                            0,
                            ServerEntry.State.RUNNING,
                            Double.NEGATIVE_INFINITY));
        }
        return servers;
    }

    @Test
    void replacedServersAreForgotten() {
        LoadBalancer.Tunnel oldest = null;
        String oldestServer = null;
        for (int roll = 0; roll < ROLLS; roll++) {
            now += ROLL_INTERVAL_SECONDS;
            loadBalancer.onServerList(fleet(roll), true);
            assertEquals(SERVERS, loadBalancer.listedServerCount(false));
            for (int i = 0; i < SERVERS; i++) {
                int before = setups.size();
                LoadBalancer.Tunnel tunnel =
                        loadBalancer.openTunnel(roll * 100L + i, 0, -1, "g-" + i, null, 0, false);
                assertEquals(before + 1, setups.size(), "placed");
                assertTrue(setups.get(before).startsWith("s-" + roll + "-"), setups.get(before));
                tunnel.onOpened(0, 0.01);
                if (oldest == null) {
                    oldest = tunnel;
                    oldestServer = setups.get(before);
                } else {
                    tunnel.onEnded(0, Outcome.OK, 0, true);
                }
            }
        }
        int forgottenAfterRolls = (int) (600 / ROLL_INTERVAL_SECONDS) + 2;
        assertTrue(
                usedIndexes.size() <= SERVERS * (forgottenAfterRolls + 1),
                usedIndexes.size() + " indexes for " + SERVERS + " servers");
        assertTrue(loadBalancer.isKnown(oldestServer), "it still has a tunnel");
        assertTrue(loadBalancer.isKnown("s-" + (ROLLS - 2) + "-0"), "it has just left");
        assertFalse(loadBalancer.isKnown("s-1-0"));
        oldest.onEnded(0, Outcome.OK, 0, true);
        assertTrue(oldest.isFinished());
    }
}
