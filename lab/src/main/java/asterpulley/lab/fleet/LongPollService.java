package asterpulley.lab.fleet;

import asterpulley.lab.sock.LongPollResponder;
import asterpulley.lab.sock.SelectorLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;

/**
 * Publishes the server list, or the settings, to one process of relays on an address of its own. It
 * serves many callers with one waiting request each and counts all traffic.
 */
final class LongPollService implements LongPollResponder.Service {
    /** Number of callers that are answered before sockets and timers are served again. */
    private static final int ANSWERS_PER_BATCH = 64;

    private static final Runnable NO_CALLBACK = () -> {};

    private final SelectorLoop loop;
    private final Source source;
    private final TrafficCounters counters;
    private final Set<LongPollResponder> callers = new LinkedHashSet<>();
    private final InetSocketAddress address;
    private boolean down;

    /** The contents to publish; callers at the same version get the same body. */
    interface Source {
        long version();

        byte[] fullDocument();

        byte[] changesSince(long version);
    }

    /** Listens for callers; {@code resource} as in {@link LongPollResponder}. */
    LongPollService(
            SelectorLoop loop,
            Source source,
            String resource,
            TrafficCounters counters,
            InetAddress hostAddress)
            throws IOException {
        this.loop = loop;
        this.source = source;
        this.counters = counters;
        address =
                loop.listen(
                                new InetSocketAddress(hostAddress, 0),
                                connection -> {
                                    counters.add(TrafficCounters.Counter.CONNECTS, 1);
                                    LongPollResponder caller =
                                            new LongPollResponder(loop, this, resource);
                                    callers.add(caller);
                                    return caller;
                                })
                        .address;
    }

    String address() {
        return address.getHostString() + ":" + address.getPort();
    }

    @Override
    public boolean isDown() {
        return down;
    }

    @Override
    public long version() {
        return source.version();
    }

    @Override
    public LongPollResponder.Answer fullAnswer() {
        counters.add(TrafficCounters.Counter.WHOLE, 1);
        return new LongPollResponder.Answer(source.fullDocument(), NO_CALLBACK);
    }

    @Override
    public LongPollResponder.Answer answerSince(long version) {
        return new LongPollResponder.Answer(source.changesSince(version), NO_CALLBACK);
    }

    @Override
    public void recordTraffic(int in, int out) {
        if (in > 0) {
            counters.add(TrafficCounters.Counter.CALLS, 1);
            counters.add(TrafficCounters.Counter.BYTES_FROM, in);
        }
        if (out > 0) {
            counters.add(TrafficCounters.Counter.ANSWERS, 1);
            counters.add(TrafficCounters.Counter.BYTES_TO, out);
        }
    }

    @Override
    public void callerLeft(LongPollResponder caller) {
        callers.remove(caller);
    }

    /** Answers all waiting requests, one after the other. */
    void answerWaiting() {
        answerBatch(new ArrayDeque<>(callers));
    }

    private void answerBatch(Queue<LongPollResponder> waiting) {
        for (int i = 0; i < ANSWERS_PER_BATCH && !waiting.isEmpty(); i++) {
            waiting.poll().answerWaiting();
        }
        if (!waiting.isEmpty()) {
            loop.schedule(0, () -> answerBatch(waiting));
        }
    }

    /**
     * Sets whether the service is down: waiting requests are broken off then, and further ones
     * refused until it is up again.
     */
    void setDown(boolean newDown) {
        down = newDown;
        if (newDown) {
            List.copyOf(callers).forEach(LongPollResponder::dropWaiting);
        }
    }
}
