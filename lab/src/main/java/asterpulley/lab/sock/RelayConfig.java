package asterpulley.lab.sock;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.world.Simulation;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Builds the configuration of a relay process from a plan, under the configuration's external
 * names. It contains only what the plan states.
 */
public final class RelayConfig {
    private RelayConfig() {}

    static Map<String, Object> of(
            Plan plan,
            Simulation simulation,
            int relay,
            String listenAddress,
            String discoveryAddress,
            Map<String, Object> initialList) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", "r" + (relay + 1));
        config.put("listen", listenAddress);
        config.put("discovery", discoveryAddress);
        config.put(
                "seed",
                Long.toHexString(
                        plan.seed * 1_000_003
                                + relay * 1009L
                                + simulation.relayIncarnation(relay)));
        config.put(
                "limits",
                RelaySettings.mapOf(
                        "cores", 1.0, "memory_mb", plan.memoryMb, "sockets", plan.maxSockets));
        config.put("known", initialList);
        config.put("settings", RelaySettings.settingsFor(plan, simulation.roomOfRelay(relay)));
        if (plan.routes != null) {
            config.put("routes", plan.routes);
        }
        return config;
    }
}
