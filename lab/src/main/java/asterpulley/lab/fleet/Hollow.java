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
 * A relay without clients: its control part is the relay's own (the watch on the list, the probes,
 * the module behind its route, its room), on real sockets and a thread of its own. Tunnels are put
 * straight to the module at a given rate, and open and end by themselves. It must replace nothing
 * of what it measures.
 */
final class Hollow implements TunnelProtocol {
    /** What all hollow relays of a process share. */
    record Shared(
            MemoryManager<?> memory,
            double setup,
            double timeout,
            Histogram decisions,
            Sights sights,
            LongAdder taken,
            LongAdder opened,
            LongAdder declined,
            LongAdder errors) {}

    /** Hears when relays start, stop and come to a version. */
    interface Sights {
        void saw(int relay, InForce.What what, long version);
    }

    /** A tunnel as a client would ask for it. */
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
    private volatile long thread;
    private final Arrivals arrivals;

    Hollow(int number, Map<String, Object> config, Arrivals arrivals, Shared shared)
            throws IOException {
        this.number = number;
        this.shared = shared;
        this.arrivals = arrivals;
        transport = ControlPlane.createTransport(loop, shared.memory);
        control = ControlPlane.of(config, this, loop, transport);
        control.decisions.onServerListUpdated(
                () -> shared.sights.saw(number, InForce.What.CAME_TO, control.serverListVersion()));
        control.onSettingsApplied(
                () ->
                        shared.sights.saw(
                                number,
                                InForce.What.SETTINGS_CAME_TO,
                                control.activeSettings().version().seq()));
        transport.start();
        loop.submit(
                () -> {
                    thread = Thread.currentThread().getId();
                    shared.sights.saw(number, InForce.What.STARTED, control.serverListVersion());
                    control.start();
                    if (arrivals.any()) {
                        loop.schedule(arrivals.gap(), this::comes);
                    }
                });
    }

    /** Its one thread, for its processor time. */
    long thread() {
        return thread;
    }

    /** Ends it as a kill would. */
    void stop() throws IOException {
        stopped = true;
        shared.sights.saw(number, InForce.What.STOPPED, 0);
        transport.shutdownNow();
    }

    private void comes() {
        if (stopped) {
            return;
        }
        loop.schedule(arrivals.gap(), this::comes);
        String id = arrivals.id();
        TunnelContext passage =
                new TunnelContext(
                        null, new Tunnel(id, id, "c" + id, shared.timeout), this, loop.now());
        shared.taken.increment();
        control.registry.registerId(id);
        // What a client's connection would take of the relay's room.
        control.registry.sockets++;
        if (control.admission.admit(passage)) {
            long from = System.nanoTime();
            control.decisions.placeTunnel(passage);
            shared.decisions.recordValue(
                    Math.min(
                            shared.decisions.getHighestTrackableValue(),
                            (System.nanoTime() - from) / 1000));
        }
    }

    // ---- As a front

    @Override
    public void startSetup(TunnelContext passage, String host, double timeout) {
        int n = ++passage.setupCount;
        passage.serverName = host;
        passage.setupPending = true;
        passage.progress = Termination.Progress.NOT_CONNECTED;
        passage.setupStartedAt = loop.now();
        passage.setupTimer =
                loop.schedule(timeout, () -> failed(passage, n, Termination.Cause.GIVEN_UP));
        control.registry.sockets++;
        loop.schedule(shared.setup, () -> opens(passage, n));
    }

    private void opens(TunnelContext passage, int n) {
        if (passage.finished || !passage.setupPending || passage.setupCount != n) {
            return;
        }
        if (!control.decisions.maySend(passage)) {
            failed(passage, n, Termination.Cause.RECALLED);
            return;
        }
        passage.setupPending = false;
        passage.setupTimer.cancel();
        passage.progress = Termination.Progress.OPENED;
        passage.established = true;
        passage.answered = true;
        control.registry.recordOpened(passage);
        shared.opened.increment();
        control.decisions.tunnelOpened(passage);
        loop.schedule(arrivals.lifetime(), () -> ends(passage, Termination.Cause.BYE));
    }

    private void ends(TunnelContext passage, Termination.Cause cause) {
        if (!passage.finished) {
            passage.finished = true;
            passage.established = false;
            control.registry.sockets -= 2;
            control.decisions.serverConnectionEnded(passage, passage.termination(cause));
            control.registry.remove(passage);
        }
    }

    private void failed(TunnelContext passage, int n, Termination.Cause cause) {
        if (passage.setupPending && passage.setupCount == n) {
            passage.setupPending = false;
            passage.setupTimer.cancel();
            control.registry.sockets--;
            control.decisions.serverConnectionEnded(passage, passage.termination(cause));
        }
    }

    @Override
    public void reopen(TunnelContext passage) {
        throw new IllegalStateException("nothing stood before a hollow relay started");
    }

    @Override
    public void abandonSetup(TunnelContext passage) {
        failed(passage, passage.setupCount, Termination.Cause.CLIENT_LEFT);
    }

    @Override
    public void recallSetup(TunnelContext passage) {
        if (passage.progress == Termination.Progress.NOT_CONNECTED) {
            failed(passage, passage.setupCount, Termination.Cause.RECALLED);
        }
    }

    /** Its client would come again, to whichever relay: here it is gone. */
    @Override
    public void move(TunnelContext passage) {
        passage.moving = true;
        loop.schedule(0, () -> ends(passage, Termination.Cause.MOVE));
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
