package asterpulley.lab.fleet;

import asterpulley.lab.sock.ListStandIn;
import asterpulley.lab.sock.Pump;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;

/**
 * The service of the server list, or of the settings, towards one process of relays, at an address
 * of its own: many callers, each with a call that waits. It must count whatever it hears and says,
 * and tell only what its source knows.
 */
final class ListService implements ListStandIn.Service {
    /** So many are answered before sockets and timers have their turn. */
    private static final int IN_A_ROW = 64;

    private static final Runnable NOBODY = () -> {};

    private final Pump pump;
    private final Source source;
    private final Tally tally;
    private final Set<ListStandIn> callers = new LinkedHashSet<>();
    private final InetSocketAddress address;
    private boolean down;

    /** What is told: bodies, the same for all who are at one version. */
    interface Source {
        long version();

        byte[] whole();

        byte[] since(long version);
    }

    /** {@code watched}: what is called for, as in {@link ListStandIn}. */
    ListService(Pump pump, Source source, String watched, Tally tally, InetAddress here)
            throws IOException {
        this.pump = pump;
        this.source = source;
        this.tally = tally;
        address =
                pump.listen(
                                new InetSocketAddress(here, 0),
                                conn -> {
                                    tally.add(Tally.What.CONNECTS, 1);
                                    ListStandIn caller = new ListStandIn(pump, this, watched);
                                    callers.add(caller);
                                    return caller;
                                })
                        .address;
    }

    String address() {
        return address.getHostString() + ":" + address.getPort();
    }

    @Override
    public boolean down() {
        return down;
    }

    @Override
    public long version() {
        return source.version();
    }

    @Override
    public ListStandIn.Answer whole() {
        tally.add(Tally.What.WHOLE, 1);
        return new ListStandIn.Answer(source.whole(), NOBODY);
    }

    @Override
    public ListStandIn.Answer since(long version) {
        return new ListStandIn.Answer(source.since(version), NOBODY);
    }

    @Override
    public void traffic(int in, int out) {
        if (in > 0) {
            tally.add(Tally.What.CALLS, 1);
            tally.add(Tally.What.BYTES_FROM, in);
        }
        if (out > 0) {
            tally.add(Tally.What.ANSWERS, 1);
            tally.add(Tally.What.BYTES_TO, out);
        }
    }

    @Override
    public void left(ListStandIn caller) {
        callers.remove(caller);
    }

    /** Tells all whose call waits, one after the other. */
    void news() {
        some(new ArrayDeque<>(callers));
    }

    private void some(Queue<ListStandIn> left) {
        for (int i = 0; i < IN_A_ROW && !left.isEmpty(); i++) {
            left.poll().news();
        }
        if (!left.isEmpty()) {
            pump.schedule(0, () -> some(left));
        }
    }

    /** Breaks off every call that waits, and refuses all others until it is back. */
    void cut(boolean cut) {
        down = cut;
        if (cut) {
            List.copyOf(callers).forEach(ListStandIn::goesDown);
        }
    }
}
