package asterpulley.net;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * The relay's counters and the record of every tunnel that it holds. What the filters accept, send
 * and answer is counted here, and each tunnel is removed here, once. It must never change what
 * happens to a tunnel.
 */
public final class TunnelRegistry {
    private static final Logger LOG = Logger.getLogger("asterpulley.net.Book");

    /** Ids of ended tunnels to remember: those of some seconds, in under a megabyte. */
    private static final int MAX_ENDED_IDS = 4096;

    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<Long, TunnelContext> tunnels = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final Map<String, Boolean> endedIds =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_ENDED_IDS;
                }
            };

    /** The final answers to a tunnel; their names and order are those of the counters. */
    public enum Answer {
        OPENED,
        DECLINED,
        CLOSED_WITH_ERROR
    }

    /** Answers by profile: the only count of them, for all outputs. */
    private final Map<Answer, long[]> answerCounts = new EnumMap<>(Answer.class);

    private List<String> profiles = List.of();
    private long lastId;
    private Consumer<TunnelContext> removalListener = tunnel -> {};
    public double lastAcceptedAt;

    /** Open connections, and those of them that only wait for a peer to read its final answer. */
    public int sockets, lingering;

    /** Connections closed in the pass over the sockets of this number, and in the one before. */
    private int closedInPass, closedInPassBefore;

    private long closingPass;

    /** Buffers that wait for slow readers, over all connections, and the heap that they take. */
    public int pendingWrites;

    public long pendingWriteBytes;

    /**
     * Beyond this nothing more is read for a peer that has something pending, so that slow readers
     * do not fill the heap.
     */
    public long maxPendingWriteBytes = Long.MAX_VALUE;

    public TunnelRegistry(List<String> profiles) {
        profiles(profiles);
    }

    /**
     * Sets the profiles' names in the order of the settings. New ones are appended, and counts of
     * the others stay.
     */
    public void profiles(List<String> names) {
        profiles = names;
        for (Answer answer : Answer.values()) {
            answerCounts.put(
                    answer,
                    Arrays.copyOf(answerCounts.getOrDefault(answer, new long[0]), names.size()));
        }
    }

    public List<String> profiles() {
        return profiles;
    }

    /** How many tunnels of this profile got this answer. */
    public long answerCount(Answer answer, int profile) {
        return answerCounts.get(answer)[profile];
    }

    private long answerCount(Answer answer) {
        return Arrays.stream(answerCounts.get(answer)).sum();
    }

    /** Final answer: opened. The tunnel's owner tells the client. */
    public void recordOpened(TunnelContext tunnel) {
        answerCounts.get(Answer.OPENED)[tunnel.request.profile()]++;
    }

    /** Whether slow readers hold as much of the heap as they may. */
    public boolean isWriteMemoryFull() {
        return pendingWriteBytes > maxPendingWriteBytes;
    }

    /** A connection was closed in this pass over the sockets. */
    void recordClosed(long pass) {
        advanceTo(pass);
        closedInPass++;
    }

    /**
     * The number of connections that are closed but may still have their descriptor: it is released
     * by the next pass over the sockets.
     */
    int closingSockets(long pass) {
        advanceTo(pass);
        return closedInPass + closedInPassBefore;
    }

    private void advanceTo(long pass) {
        if (pass != closingPass) {
            closedInPassBefore = pass == closingPass + 1 ? closedInPass : 0;
            closedInPass = 0;
            closingPass = pass;
        }
    }

    public void count(String counter) {
        counters.merge(counter, 1L, Long::sum);
    }

    public void add(String counter, long amount) {
        counters.merge(counter, amount, Long::sum);
    }

    /** The value of this counter; the name of an answer stands for its sum over all profiles. */
    public long counterValue(String counter) {
        for (Answer answer : Answer.values()) {
            if (answer.name().toLowerCase().equals(counter)) {
                return answerCount(answer);
            }
        }
        return counters.getOrDefault(counter, 0L);
    }

    /**
     * Records a client's id; false if it was seen before. Ids are new with every connection: a
     * client that reuses another's would make two tunnels look like one to the backends.
     */
    public boolean registerId(String id) {
        return !endedIds.containsKey(id) && openIds.add(id);
    }

    /** Adds a tunnel. The number returned is the relay's own, never the client's. */
    public long register(TunnelContext tunnel) {
        tunnels.put(++lastId, tunnel);
        return lastId;
    }

    public TunnelContext find(long id) {
        return tunnels.get(id);
    }

    public List<TunnelContext> all() {
        return List.copyOf(tunnels.values());
    }

    public int held() {
        return tunnels.size();
    }

    /** How many tunnels have no socket at a backend yet, or no longer, and will need one. */
    public int awaitingBackendSocket() {
        int count = 0;
        for (TunnelContext tunnel : tunnels.values()) {
            count += tunnel.answered || tunnel.setupPending ? 0 : 1;
        }
        return count;
    }

    /** Sets the listener that is called with every tunnel that is removed. */
    public void setRemovalListener(Consumer<TunnelContext> listener) {
        removalListener = listener;
    }

    public void remove(TunnelContext tunnel) {
        tunnels.remove(tunnel.id);
        removalListener.accept(tunnel);
        openIds.remove(tunnel.request.id());
        endedIds.put(tunnel.request.id(), true);
        if (tunnel.clientTimer != null) {
            tunnel.clientTimer.cancel();
        }
    }

    /**
     * Final answer: declined, to be tried again after {@code retryAfter} seconds (0: no advice).
     */
    public void decline(TunnelContext tunnel, double retryAfter) {
        if (recordFinalAnswer(tunnel, Answer.DECLINED)) {
            tunnel.protocol.decline(tunnel.client, retryAfter);
            lingerAndRemove(tunnel);
        }
    }

    /** Final answer: closed with error. */
    public void closeWithError(TunnelContext tunnel) {
        if (recordFinalAnswer(tunnel, Answer.CLOSED_WITH_ERROR)) {
            tunnel.protocol.closeWithError(tunnel.client);
            lingerAndRemove(tunnel);
        }
    }

    /**
     * Counts the final answer. False if the tunnel has one already or is gone: a second answer is
     * not sent.
     */
    private boolean recordFinalAnswer(TunnelContext tunnel, Answer answer) {
        if (tunnel == null || tunnel.answered) {
            return false;
        }
        answerCounts.get(answer)[tunnel.request.profile()]++;
        tunnel.answered = true;
        tunnel.finished = true;
        return true;
    }

    private void lingerAndRemove(TunnelContext tunnel) {
        if (tunnel.client != null) {
            tunnel.client.linger();
        }
        remove(tunnel);
    }

    public void log(String line) {
        LOG.info(line);
    }

    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("held=" + held() + " sockets=" + sockets);
        answerCounts.forEach(
                (answer, counts) -> {
                    line.append(' ')
                            .append(answer.name().toLowerCase())
                            .append('=')
                            .append(answerCount(answer));
                    for (int profile = 0; profile < counts.length; profile++) {
                        line.append(profile == 0 ? " (" : " ")
                                .append(profiles.get(profile))
                                .append(' ')
                                .append(counts[profile]);
                    }
                    line.append(')');
                });
        counters.forEach((name, count) -> line.append(' ').append(name).append('=').append(count));
        return line.toString();
    }
}
