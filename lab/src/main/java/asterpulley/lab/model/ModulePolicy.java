package asterpulley.lab.model;

import asterpulley.Frontend;
import asterpulley.LoadBalancer;
import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.ServerEntry;
import asterpulley.Settings;
import java.util.List;

/**
 * The decision module itself, behind the interface of its front. It must change nothing of what
 * passes.
 */
final class ModulePolicy implements BalancingPolicy {
    private final LoadBalancer balance;

    ModulePolicy(Settings settings, long seed, PolicyHost host) {
        balance =
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
                                    LoadBalancer.Tunnel tun, String ep, double timeout) {
                                host.sendSetup(tun.id, ep, timeout);
                            }

                            @Override
                            public void decline(LoadBalancer.Tunnel tun, double retryAfter) {
                                host.decline(tun.id, retryAfter);
                            }

                            @Override
                            public void closeWithError(LoadBalancer.Tunnel tun) {
                                host.closeWithError(tun.id);
                            }

                            @Override
                            public void move(LoadBalancer.Tunnel tun) {
                                host.move(tun.id);
                            }

                            @Override
                            public boolean isEligible(
                                    LoadBalancer.Tunnel tun, int server, String ep) {
                                return host.isEligible(tun.id, server, ep);
                            }

                            @Override
                            public boolean widenSelection(LoadBalancer.Tunnel tun) {
                                return host.widenSelection(tun.id);
                            }

                            @Override
                            public void probe(String ep) {
                                host.probe(ep);
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
                                // What a run is worth is read off its figures; a thousand relays'
                                // lines would only fill the memory.
                            }
                        });
    }

    @Override
    public TunnelHandle openTunnel(
            long id, int profile, int customer, String group, String key, double budget) {
        LoadBalancer.Tunnel tunnel =
                balance.openTunnel(id, profile, customer, group, key, budget, false);
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
            public void onMessageDelay(double message) {
                tunnel.onMessageDelay(message);
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
        balance.onProbeResult(server, outcome, report);
    }

    @Override
    public void onServerList(List<ServerEntry> servers, boolean whole) {
        balance.onServerList(servers, whole);
    }

    @Override
    public void onServerListFailed() {
        balance.onServerListFailed(false);
    }

    @Override
    public void onTimer(long token) {
        balance.onTimer(token);
    }
}
