package asterpulley;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.LearnedStateTest.RecordingFrontend;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Settings changed at run time: new settings apply from then on, and tunnels that are already
 * accepted keep their profile.
 */
class SettingsUpdateTest {
    private final RecordingFrontend frontend = new RecordingFrontend();

    private static Settings settings(Settings.Repeatability... repeatabilities) {
        Settings settings = new Settings();
        settings.maxSetupsPerTunnel = 4;
        for (Settings.Repeatability repeatability : repeatabilities) {
            Settings.Profile profile = new Settings.Profile();
            profile.repeatability = repeatability;
            profile.idempotencyScope = Settings.IdempotencyScope.ALL;
            profile.idempotencyWindow = 1;
            settings.profiles.add(profile);
        }
        return settings;
    }

    private LoadBalancer loadBalancer(Settings settings) {
        LoadBalancer loadBalancer = new LoadBalancer(settings, 1, frontend);
        loadBalancer.onServerList(
                List.of(serverEntry("a"), serverEntry("b"), serverEntry("c")), true);
        return loadBalancer;
    }

    private static ServerEntry serverEntry(String serverName) {
        return new ServerEntry(
                serverName, 0, 0, 0, ServerEntry.State.RUNNING, Double.NEGATIVE_INFINITY);
    }

    @Test
    void acceptedTunnelsKeepTheirProfileAndNewOnesUseTheNewProfile() {
        LoadBalancer loadBalancer =
                loadBalancer(
                        settings(
                                Settings.Repeatability.ONCE_ONLY,
                                Settings.Repeatability.REPEATABLE));
        LoadBalancer.Tunnel onceOnly = loadBalancer.openTunnel(1, 0, 0, null, null, 0, false);
        LoadBalancer.Tunnel repeatable = loadBalancer.openTunnel(2, 1, 0, null, null, 0, false);
        loadBalancer.updateSettings(
                settings(Settings.Repeatability.REPEATABLE, Settings.Repeatability.ONCE_ONLY));
        assertEquals(2, frontend.setups.size());
        onceOnly.onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(1, frontend.failed, "once-only: closed with error since it may have run");
        repeatable.onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(3, frontend.setups.size(), "repeatable: it is retried");
        loadBalancer
                .openTunnel(3, 0, 0, null, null, 0, false)
                .onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(5, frontend.setups.size(), "the first profile is repeatable now");
        loadBalancer
                .openTunnel(4, 1, 0, null, null, 0, false)
                .onEnded(0, Outcome.TIMED_OUT, 0.1, false);
        assertEquals(2, frontend.failed, "the second profile is once-only now");
    }

    @Test
    void lowerSetupLimitAppliesToTunnelsInProgress() {
        LoadBalancer loadBalancer = loadBalancer(settings(Settings.Repeatability.REPEATABLE));
        LoadBalancer.Tunnel tunnel = loadBalancer.openTunnel(1, 0, 0, null, null, 0, false);
        Settings singleSetup = settings(Settings.Repeatability.REPEATABLE);
        singleSetup.maxSetupsPerTunnel = 1;
        loadBalancer.updateSettings(singleSetup);
        tunnel.onEnded(0, Outcome.RESET, 0.1, false);
        assertEquals(1, frontend.setups.size());
        assertEquals(1, frontend.declined);
    }

    @Test
    void retryBudgetAppliesFromItsChange() {
        LoadBalancer loadBalancer = loadBalancer(settings(Settings.Repeatability.REPEATABLE));
        loadBalancer
                .openTunnel(1, 0, 0, null, null, 0, false)
                .onEnded(0, Outcome.RESET, 0.1, false);
        assertEquals(2, frontend.setups.size(), "no budget is configured yet");
        Settings noRetries = settings(Settings.Repeatability.REPEATABLE);
        noRetries.retryBudgetWindow = 5;
        loadBalancer.updateSettings(noRetries);
        loadBalancer
                .openTunnel(2, 0, 0, null, null, 0, false)
                .onEnded(0, Outcome.RESET, 0.1, false);
        assertEquals(3, frontend.setups.size());
        assertEquals(1, frontend.declined, "the budget allows no retries");
    }

    @Test
    void fewerRelaysAllowMoreConcurrentSetups() {
        Settings manyRelays = settings(Settings.Repeatability.REPEATABLE);
        manyRelays.relayCount = 64;
        LoadBalancer loadBalancer = loadBalancer(manyRelays);
        loadBalancer.openTunnel(1, 0, 0, null, null, 0, false);
        loadBalancer.openTunnel(2, 0, 0, null, null, 0, false);
        assertEquals(1, frontend.setups.size(), "six setups shared by 64 relays");
        loadBalancer.updateSettings(settings(Settings.Repeatability.REPEATABLE));
        loadBalancer.openTunnel(3, 0, 0, null, null, 0, false);
        assertEquals(2, frontend.setups.size());
    }

    @Test
    void learnedProfileLoadIsKeptAndNewProfilesStartEmpty() {
        LoadBalancer loadBalancer = loadBalancer(settings(Settings.Repeatability.REPEATABLE));
        LoadBalancer.Tunnel tunnel = loadBalancer.openTunnel(1, 0, 0, null, null, 0, false);
        tunnel.onOpened(0, 0.01);
        tunnel.onLoad(0.25);
        double[] before = loadBalancer.exportLearnedState();
        loadBalancer.updateSettings(
                settings(Settings.Repeatability.REPEATABLE, Settings.Repeatability.REPEATABLE));
        double[] after = loadBalancer.exportLearnedState();
        int loads = before.length - 2;
        assertEquals(0.25, before[loads]);
        assertArrayEquals(Arrays.copyOf(before, loads + 1), Arrays.copyOf(after, loads + 1));
        assertArrayEquals(
                new double[] {0.25, 0, 1, 0}, Arrays.copyOfRange(after, loads, loads + 4));
        LoadBalancer.Tunnel other = loadBalancer.openTunnel(2, 1, 0, null, null, 0, false);
        other.onOpened(0, 0.01);
        other.onLoad(0.5);
        assertEquals(0.5, loadBalancer.exportLearnedState()[loads + 1]);
    }

    /**
     * Near full, a customer over its share gets no new tunnels. Covers two customers, a third that
     * is added, and tunnels of no customer.
     */
    @Test
    void customerTunnelsStayCountedAndUnnamedCustomersHaveNoShare() {
        Settings twoCustomers = settings(Settings.Repeatability.REPEATABLE);
        twoCustomers.excessCredit = 0.2;
        twoCustomers.customerShares.addAll(List.of(0.5, 0.5));
        LoadBalancer loadBalancer = loadBalancer(twoCustomers);
        for (int i = 0; i < 8; i++) {
            // Six tunnels of the first customer, two of none.
            loadBalancer.openTunnel(i, 0, i < 6 ? 0 : -1, null, null, 0, false).onOpened(0, 0.01);
        }
        Settings threeCustomers = settings(Settings.Repeatability.REPEATABLE);
        threeCustomers.excessCredit = 0.2;
        threeCustomers.customerShares.addAll(List.of(0.4, 0.4, 0.2));
        loadBalancer.updateSettings(threeCustomers);
        frontend.now += 2;
        LoadReport nearFull = new LoadReport();
        nearFull.load = 0.77;
        for (String serverName : List.of("a", "b", "c")) {
            loadBalancer.onProbeResult(serverName, Outcome.OK, nearFull);
        }
        int setups = frontend.setups.size();
        loadBalancer.openTunnel(20, 0, 2, null, null, 0, false);
        assertEquals(setups + 1, frontend.setups.size(), "the new customer has room in its share");
        loadBalancer.openTunnel(21, 0, -1, null, null, 0, false);
        assertEquals(
                setups + 2,
                frontend.setups.size(),
                "a tunnel of no customer has no share to exceed");
        loadBalancer.openTunnel(22, 0, 0, null, null, 0, false);
        assertEquals(setups + 2, frontend.setups.size(), "the first customer is over its share");
        assertTrue(frontend.declined == 1);
    }
}
