package asterpulley.lab.model;

import asterpulley.Frontend;
import asterpulley.LoadBalancer;
import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import java.util.List;

/**
 * Adapts the load balancer to the interface of a balancing policy. It must change nothing that
 * passes through.
 */
final class ModulePolicy implements BalancingPolicy {
    private final LoadBalancer loadBalancer;

    ModulePolicy(Settings settings, long seed, PolicyHost host) {
        loadBalancer =
                new LoadBalancer(
                        settings,
                        seed,
                        new Frontend() {
                            @Override
                            public double now() {
                                return host.now();
                            }

                            @Override
                            public void sendSetup(
                                    LoadBalancer.Tunnel tunnel, String serverName, double timeout) {
                                host.sendSetup(tunnel.id, serverName, timeout);
                            }

                            @Override
                            public void decline(LoadBalancer.Tunnel tunnel, double retryAfter) {
                                host.decline(tunnel.id, retryAfter);
                            }

                            @Override
                            public void closeWithError(LoadBalancer.Tunnel tunnel) {
                                host.closeWithError(tunnel.id);
                            }

                            @Override
                            public void move(LoadBalancer.Tunnel tunnel) {
                                host.move(tunnel.id);
                            }

                            @Override
                            public boolean isEligible(
                                    LoadBalancer.Tunnel tunnel, int server, String serverName) {
                                return host.isEligible(tunnel.id, server, serverName);
                            }

                            @Override
                            public boolean widenSelection(LoadBalancer.Tunnel tunnel) {
                                return host.widenSelection(tunnel.id);
                            }

                            @Override
                            public void probe(String serverName) {
                                host.probe(serverName);
                            }

                            @Override
                            public void watchServerList() {
                                host.watchServerList();
                            }

                            @Override
                            public void scheduleTimer(double after, long token) {
                                host.scheduleTimer(after, token);
                            }

                            @Override
                            public void log(String line) {
                                // A run is judged by its figures; the log lines of a thousand
                                // relays would only fill the memory.
                            }
                        });
    }

    @Override
    public TunnelHandle openTunnel(
            long id, int profile, int customer, String group, String key, double budget) {
        LoadBalancer.Tunnel tunnel =
                loadBalancer.openTunnel(id, profile, customer, group, key, budget, false);
        return new TunnelHandle() {
            @Override
            public void onOpened(double lag) {
                tunnel.onOpened(0, lag);
            }

            @Override
            public void onLoad(double cores) {
                tunnel.onLoad(cores);
            }

            @Override
            public void onMessageDelay(double seconds) {
                tunnel.onMessageDelay(seconds);
            }

            @Override
            public void onEnded(Outcome outcome, double lag, boolean last) {
                tunnel.onEnded(0, outcome, lag, last);
            }

            @Override
            public void cancel() {
                tunnel.cancel();
            }
        };
    }

    @Override
    public void onProbeResult(String server, Outcome outcome, LoadReport report) {
        loadBalancer.onProbeResult(server, outcome, report);
    }

    @Override
    public void onServerList(List<ServerEntry> servers, boolean whole) {
        loadBalancer.onServerList(servers, whole);
    }

    @Override
    public void onServerListFailed() {
        loadBalancer.onServerListFailed(false);
    }

    @Override
    public void onTimer(long token) {
        loadBalancer.onTimer(token);
    }
}
