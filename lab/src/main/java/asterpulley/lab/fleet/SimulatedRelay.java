package asterpulley.lab.fleet;

import asterpulley.net.EventLoop;
import asterpulley.net.PeerConnection;
import asterpulley.net.Termination;
import asterpulley.net.TunnelContext;
import asterpulley.net.TunnelProtocol;
import asterpulley.net.TunnelRequest;
import asterpulley.serve.ControlPlane;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * A relay without client connections. Its control plane is the relay's own (server list watch,
 * probes, the load balancer module with its decisions, admission), on real sockets and a thread of
 * its own. Tunnels are passed directly to the module at a given rate, and open and end by
 * themselves. Nothing that is measured is replaced here.
 */
final class SimulatedRelay implements TunnelProtocol {
    /** What all simulated relays of a process share. */
    record Shared(
            MemoryManager<?> memory,
            double setupSeconds,
            double clientTimeout,
            Histogram decisionMicros,
            EventRecorder eventRecorder,
            LongAdder taken,
            LongAdder opened,
            LongAdder declined,
            LongAdder errors) {}

    /** Records when relays start, stop and reach a version. */
    interface EventRecorder {
        void record(int relay, PropagationTracker.EventType type, long version);
    }

    /** A tunnel request as a client would send it. */
    private record Tunnel(String id, String key, String group, double clientTimeout)
            implements TunnelRequest {
        @Override
        public int profile() {
            return 0;
        }

        @Override
        public int customer() {
            return 0;
        }

        @Override
        public String previousServer() {
            return null;
        }

        @Override
        public byte[] setupMessage(double wait) {
            return new byte[0];
        }
    }

    private final int number;
    private final Shared shared;
    private final EventLoop loop = new EventLoop();
    private final TCPNIOTransport transport;
    private final ControlPlane control;
    private volatile boolean stopped;
    private volatile long threadId;
    private final TunnelArrivals arrivals;

    SimulatedRelay(int number, Map<String, Object> config, TunnelArrivals arrivals, Shared shared)
            throws IOException {
        this.number = number;
        this.shared = shared;
        this.arrivals = arrivals;
        transport = ControlPlane.createTransport(loop, shared.memory);
        control = ControlPlane.of(config, this, loop, transport);
        control.decisions.onServerListUpdated(
                () ->
                        shared.eventRecorder.record(
                                number,
                                PropagationTracker.EventType.CAME_TO,
                                control.serverListVersion()));
        control.onSettingsApplied(
                () ->
                        shared.eventRecorder.record(
                                number,
                                PropagationTracker.EventType.SETTINGS_CAME_TO,
                                control.activeSettings().version().seq()));
        transport.start();
        loop.submit(
                () -> {
                    threadId = Thread.currentThread().getId();
                    shared.eventRecorder.record(
                            number,
                            PropagationTracker.EventType.STARTED,
                            control.serverListVersion());
                    control.start();
                    if (arrivals.hasArrivals()) {
                        loop.schedule(arrivals.nextGap(), this::startTunnel);
                    }
                });
    }

    /** Returns the id of the relay's only thread, for its CPU time. */
    long threadId() {
        return threadId;
    }

    /** Ends the relay like a kill would. */
    void stop() throws IOException {
        stopped = true;
        shared.eventRecorder.record(number, PropagationTracker.EventType.STOPPED, 0);
        transport.shutdownNow();
    }

    private void startTunnel() {
        if (stopped) {
            return;
        }
        loop.schedule(arrivals.nextGap(), this::startTunnel);
        String id = arrivals.nextId();
        TunnelContext tunnel =
                new TunnelContext(
                        null, new Tunnel(id, id, "c" + id, shared.clientTimeout), this, loop.now());
        shared.taken.increment();
        control.registry.registerId(id);
        // Counts the socket that a client connection would take.
        control.registry.sockets++;
        if (control.admission.admit(tunnel)) {
            long decisionStart = System.nanoTime();
            control.decisions.placeTunnel(tunnel);
            shared.decisionMicros.recordValue(
                    Math.min(
                            shared.decisionMicros.getHighestTrackableValue(),
                            (System.nanoTime() - decisionStart) / 1000));
        }
    }

    // ---- TunnelProtocol

    @Override
    public void startSetup(TunnelContext tunnel, String serverName, double timeout) {
        int setupNumber = ++tunnel.setupCount;
        tunnel.serverName = serverName;
        tunnel.setupPending = true;
        tunnel.progress = Termination.Progress.NOT_CONNECTED;
        tunnel.setupStartedAt = loop.now();
        tunnel.setupTimer =
                loop.schedule(
                        timeout,
                        () -> setupFailed(tunnel, setupNumber, Termination.Cause.GIVEN_UP));
        control.registry.sockets++;
        loop.schedule(shared.setupSeconds, () -> setupAnswered(tunnel, setupNumber));
    }

    private void setupAnswered(TunnelContext tunnel, int setupNumber) {
        if (tunnel.finished || !tunnel.setupPending || tunnel.setupCount != setupNumber) {
            return;
        }
        if (!control.decisions.maySend(tunnel)) {
            setupFailed(tunnel, setupNumber, Termination.Cause.RECALLED);
            return;
        }
        tunnel.setupPending = false;
        tunnel.setupTimer.cancel();
        tunnel.progress = Termination.Progress.OPENED;
        tunnel.established = true;
        tunnel.answered = true;
        control.registry.recordOpened(tunnel);
        shared.opened.increment();
        control.decisions.tunnelOpened(tunnel);
        loop.schedule(arrivals.nextLifetime(), () -> endTunnel(tunnel, Termination.Cause.BYE));
    }

    private void endTunnel(TunnelContext tunnel, Termination.Cause cause) {
        if (!tunnel.finished) {
            tunnel.finished = true;
            tunnel.established = false;
            control.registry.sockets -= 2;
            control.decisions.serverConnectionEnded(tunnel, tunnel.termination(cause));
            control.registry.remove(tunnel);
        }
    }

    private void setupFailed(TunnelContext tunnel, int setupNumber, Termination.Cause cause) {
        if (tunnel.setupPending && tunnel.setupCount == setupNumber) {
            tunnel.setupPending = false;
            tunnel.setupTimer.cancel();
            control.registry.sockets--;
            control.decisions.serverConnectionEnded(tunnel, tunnel.termination(cause));
        }
    }

    @Override
    public void reopen(TunnelContext tunnel) {
        throw new IllegalStateException("a simulated relay has no tunnels to reopen");
    }

    @Override
    public void abandonSetup(TunnelContext tunnel) {
        setupFailed(tunnel, tunnel.setupCount, Termination.Cause.CLIENT_LEFT);
    }

    @Override
    public void recallSetup(TunnelContext tunnel) {
        if (tunnel.progress == Termination.Progress.NOT_CONNECTED) {
            setupFailed(tunnel, tunnel.setupCount, Termination.Cause.RECALLED);
        }
    }

    /** The client would reconnect to any relay; here it just leaves. */
    @Override
    public void move(TunnelContext tunnel) {
        tunnel.moving = true;
        loop.schedule(0, () -> endTunnel(tunnel, Termination.Cause.MOVE));
    }

    @Override
    public void moveNow(TunnelContext tunnel) {
        move(tunnel);
    }

    @Override
    public void decline(PeerConnection client, double retryAfter) {
        control.registry.sockets--;
        shared.declined.increment();
    }

    @Override
    public void closeWithError(PeerConnection client) {
        control.registry.sockets--;
        shared.errors.increment();
    }
}
