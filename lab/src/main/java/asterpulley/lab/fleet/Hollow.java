package asterpulley.lab.fleet;

import asterpulley.net.Asked;
import asterpulley.net.Failure;
import asterpulley.net.Leg;
import asterpulley.net.Loop;
import asterpulley.net.Passage;
import asterpulley.net.Talk;
import asterpulley.serve.Control;
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
final class Hollow implements Talk {
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
    private record Tunnel(String id, String key, String group, double patience) implements Asked {
        @Override
        public int profile() {
            return 0;
        }

        @Override
        public int customer() {
            return 0;
        }

        @Override
        public String at() {
            return null;
        }

        @Override
        public byte[] opening(double wait) {
            return new byte[0];
        }
    }

    private final int number;
    private final Shared shared;
    private final Loop loop = new Loop();
    private final TCPNIOTransport transport;
    private final Control control;
    private volatile boolean stopped;
    private volatile long thread;
    private final Arrivals arrivals;

    Hollow(int number, Map<String, Object> config, Arrivals arrivals, Shared shared)
            throws IOException {
        this.number = number;
        this.shared = shared;
        this.arrivals = arrivals;
        transport = Control.transport(loop, shared.memory);
        control = Control.of(config, this, loop, transport);
        control.route.whenListed(
                () -> shared.sights.saw(number, InForce.What.CAME_TO, control.listVersion()));
        control.whenSettingsInForce(
                () ->
                        shared.sights.saw(
                                number,
                                InForce.What.SETTINGS_CAME_TO,
                                control.settings().version().seq()));
        transport.start();
        loop.handIn(
                () -> {
                    thread = Thread.currentThread().getId();
                    shared.sights.saw(number, InForce.What.STARTED, control.listVersion());
                    control.start();
                    if (arrivals.any()) {
                        loop.after(arrivals.gap(), this::comes);
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
        loop.after(arrivals.gap(), this::comes);
        String id = arrivals.id();
        Passage passage =
                new Passage(null, new Tunnel(id, id, "c" + id, shared.timeout), this, loop.now());
        shared.taken.increment();
        control.book.firstSeen(id);
        // What a client's connection would take of the relay's room.
        control.book.sockets++;
        if (control.admit.admits(passage)) {
            long from = System.nanoTime();
            control.route.take(passage);
            shared.decisions.recordValue(
                    Math.min(
                            shared.decisions.getHighestTrackableValue(),
                            (System.nanoTime() - from) / 1000));
        }
    }

    // ---- As a front

    @Override
    public void setup(Passage passage, String host, double timeout) {
        int n = ++passage.setups;
        passage.host = host;
        passage.out = true;
        passage.reach = Failure.Reach.NOT_CONNECTED;
        passage.sentAt = loop.now();
        passage.patience = loop.after(timeout, () -> failed(passage, n, Failure.Cause.GIVEN_UP));
        control.book.sockets++;
        loop.after(shared.setup, () -> opens(passage, n));
    }

    private void opens(Passage passage, int n) {
        if (passage.over || !passage.out || passage.setups != n) {
            return;
        }
        if (!control.route.mayGo(passage)) {
            failed(passage, n, Failure.Cause.RECALLED);
            return;
        }
        passage.out = false;
        passage.patience.cancel();
        passage.reach = Failure.Reach.OPENED;
        passage.standing = true;
        passage.answered = true;
        control.book.opened(passage);
        shared.opened.increment();
        control.route.opened(passage);
        loop.after(arrivals.lifetime(), () -> ends(passage, Failure.Cause.BYE));
    }

    private void ends(Passage passage, Failure.Cause cause) {
        if (!passage.over) {
            passage.over = true;
            passage.standing = false;
            control.book.sockets -= 2;
            control.route.ended(passage, passage.failure(cause));
            control.book.leave(passage);
        }
    }

    private void failed(Passage passage, int n, Failure.Cause cause) {
        if (passage.out && passage.setups == n) {
            passage.out = false;
            passage.patience.cancel();
            control.book.sockets--;
            control.route.ended(passage, passage.failure(cause));
        }
    }

    @Override
    public void reopen(Passage passage) {
        throw new IllegalStateException("nothing stood before a hollow relay started");
    }

    @Override
    public void abandon(Passage passage) {
        failed(passage, passage.setups, Failure.Cause.CLIENT_LEFT);
    }

    @Override
    public void recall(Passage passage) {
        if (passage.reach == Failure.Reach.NOT_CONNECTED) {
            failed(passage, passage.setups, Failure.Cause.RECALLED);
        }
    }

    /** Its client would come again, to whichever relay: here it is gone. */
    @Override
    public void move(Passage passage) {
        passage.moving = true;
        loop.after(0, () -> ends(passage, Failure.Cause.MOVE));
    }

    @Override
    public void decline(Leg client, double retryAfter) {
        control.book.sockets--;
        shared.declined.increment();
    }

    @Override
    public void closeWithError(Leg client) {
        control.book.sockets--;
        shared.errors.increment();
    }
}
