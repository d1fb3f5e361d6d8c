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
final class ModuleBrain implements Brain {
    private final LoadBalancer balance;

    ModuleBrain(Settings settings, long seed, Host host) {
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
                                host.setup(tun.id, ep, timeout);
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
                                return host.may(tun.id, server, ep);
                            }

                            @Override
                            public boolean widenSelection(LoadBalancer.Tunnel tun) {
                                return host.widen(tun.id);
                            }

                            @Override
                            public void probe(String ep) {
                                host.probe(ep);
                            }

                            @Override
                            public void watchServerList() {
                                host.watch();
                            }

                            @Override
                            public void scheduleTimer(double after, long token) {
                                host.wake(after, token);
                            }

                            @Override
                            public void log(String line) {
                                // What a run is worth is read off its figures; a thousand relays'
                                // lines would only fill the memory.
                            }
                        });
    }

    @Override
    public Handle take(
            long id, int profile, int customer, String group, String key, double budget) {
        LoadBalancer.Tunnel tunnel =
                balance.openTunnel(id, profile, customer, group, key, budget, false);
        return new Handle() {
            @Override
            public void opened(double lag) {
                tunnel.onOpened(0, lag);
            }

            @Override
            public void load(double cores) {
                tunnel.onLoad(cores);
            }

            @Override
            public void delay(double message) {
                tunnel.onMessageDelay(message);
            }

            @Override
            public void ended(Outcome outcome, double lag, boolean last) {
                tunnel.onEnded(0, outcome, lag, last);
            }

            @Override
            public void withdrawn() {
                tunnel.cancel();
            }
        };
    }

    @Override
    public void probed(String server, Outcome outcome, LoadReport report) {
        balance.onProbeResult(server, outcome, report);
    }

    @Override
    public void list(List<ServerEntry> servers, boolean whole) {
        balance.onServerList(servers, whole);
    }

    @Override
    public void listFailed() {
        balance.onServerListFailed(false);
    }

    @Override
    public void woke(long token) {
        balance.onTimer(token);
    }
}
