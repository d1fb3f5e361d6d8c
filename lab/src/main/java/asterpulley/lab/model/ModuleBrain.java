package asterpulley.lab.model;

import asterpulley.Balance;
import asterpulley.Front;
import asterpulley.Listed;
import asterpulley.Outcome;
import asterpulley.Report;
import asterpulley.Settings;
import java.util.List;

/**
 * The decision module itself, behind the interface of its front. It must change nothing of what
 * passes.
 */
final class ModuleBrain implements Brain {
    private final Balance balance;

    ModuleBrain(Settings settings, long seed, Host host) {
        balance =
                new Balance(
                        settings,
                        seed,
                        new Front() {
                            @Override
                            public double now() {
                                return host.now();
                            }

                            @Override
                            public void setup(Balance.Tunnel tun, String ep, double timeout) {
                                host.setup(tun.id, ep, timeout);
                            }

                            @Override
                            public void decline(Balance.Tunnel tun, double retryAfter) {
                                host.decline(tun.id, retryAfter);
                            }

                            @Override
                            public void closeWithError(Balance.Tunnel tun) {
                                host.closeWithError(tun.id);
                            }

                            @Override
                            public void move(Balance.Tunnel tun) {
                                host.move(tun.id);
                            }

                            @Override
                            public boolean may(Balance.Tunnel tun, int server, String ep) {
                                return host.may(tun.id, server, ep);
                            }

                            @Override
                            public boolean widen(Balance.Tunnel tun) {
                                return host.widen(tun.id);
                            }

                            @Override
                            public void probe(String ep) {
                                host.probe(ep);
                            }

                            @Override
                            public void watch() {
                                host.watch();
                            }

                            @Override
                            public void wake(double after, long token) {
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
        Balance.Tunnel tunnel = balance.take(id, profile, customer, group, key, budget, false);
        return new Handle() {
            @Override
            public void opened(double lag) {
                tunnel.opened(0, lag);
            }

            @Override
            public void load(double cores) {
                tunnel.load(cores);
            }

            @Override
            public void delay(double message) {
                tunnel.delay(message);
            }

            @Override
            public void ended(Outcome outcome, double lag, boolean last) {
                tunnel.ended(0, outcome, lag, last);
            }

            @Override
            public void withdrawn() {
                tunnel.withdrawn();
            }
        };
    }

    @Override
    public void probed(String server, Outcome outcome, Report report) {
        balance.probed(server, outcome, report);
    }

    @Override
    public void list(List<Listed> servers, boolean whole) {
        balance.list(servers, whole);
    }

    @Override
    public void listFailed() {
        balance.listFailed(false);
    }

    @Override
    public void woke(long token) {
        balance.woke(token);
    }
}
