package asterpulley.line;

import asterpulley.net.EventLoop;
import asterpulley.net.LoadBalancerFilter;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelRegistry;

/**
 * Finds backends that stopped answering by the lines of clients that they leave unanswered, which
 * shows sooner than in load reports: it reports a delay to the load balancer and moves the client
 * when the delay is too long. It must never blame a backend that this relay does not read from.
 */
public final class SilentBackendMonitor {
    /**
     * A client is moved if its lines are unanswered for this long. The platform allows 7 s from the
     * moment the backend stops, and up to 2 s of those, the time between two lines of a client, may
     * pass before the first unanswered line.
     */
    private static final double SILENT_BACKEND_SECONDS = 3.5;

    /**
     * A healthy backend returns a line at once: a delay is reported to the load balancer from here
     * on, and again at this interval.
     */
    private static final double SLOW_REPORT_INTERVAL_SECONDS = 1.1;

    private static final double SWEEP_INTERVAL_SECONDS = 0.25;

    private final EventLoop eventLoop;
    private final TunnelRegistry registry;
    private final LoadBalancerFilter loadBalancerFilter;

    public SilentBackendMonitor(
            EventLoop eventLoop, TunnelRegistry registry, LoadBalancerFilter loadBalancerFilter) {
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.loadBalancerFilter = loadBalancerFilter;
    }

    /** Checks all tunnels now and at each interval from now on. */
    public void start() {
        for (TunnelContext tunnel : registry.all()) {
            if (tunnel.established && !tunnel.moving && tunnel.unansweredSince > 0) {
                checkUnanswered(tunnel);
            }
        }
        eventLoop.schedule(SWEEP_INTERVAL_SECONDS, this::start);
    }

    private void checkUnanswered(TunnelContext tunnel) {
        if (tunnel.client.isSlowReader()) {
            // The answer may be among what is not read from the backend meanwhile.
            tunnel.unansweredSince = eventLoop.now();
            tunnel.slowReports = 0;
            return;
        }
        double waited = eventLoop.now() - tunnel.unansweredSince;
        if (waited > SILENT_BACKEND_SECONDS) {
            registry.count("moved_silent");
            tunnel.protocol.move(tunnel);
        } else if (waited > (tunnel.slowReports + 1) * SLOW_REPORT_INTERVAL_SECONDS) {
            tunnel.slowReports++;
            registry.count("lines_unanswered");
            loadBalancerFilter.messageDelayed(tunnel, waited);
        }
    }
}
