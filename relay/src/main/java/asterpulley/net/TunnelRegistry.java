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
 * The last stage, book: owns the relay's counters and the record of every tunnel that it holds.
 * What the other stages take in, send and answer is counted here, and a tunnel is let go here,
 * once. It must never change what happens to a tunnel.
 */
public final class TunnelRegistry {
    private static final Logger LOG = Logger.getLogger("asterpulley.net.Book");

    /** Ids of ended tunnels that are remembered: some seconds' worth, in under a megabyte. */
    private static final int ENDED_IDS = 4096;

    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<Long, TunnelContext> passages = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final Map<String, Boolean> endedIds =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > ENDED_IDS;
                }
            };

    /** How a tunnel was answered, in the order of the answers' names. */
    public enum Answer {
        OPENED,
        DECLINED,
        CLOSED_WITH_ERROR
    }

    /** Answers by profile: the one count of them, whoever shows it. */
    private final Map<Answer, long[]> answers = new EnumMap<>(Answer.class);

    private List<String> profiles = List.of();
    private long lastId;
    private Consumer<TunnelContext> left = passage -> {};
    public double lastAcceptedAt;

    /**
     * Connections that are open, and those of them that only wait for a peer to read the last word.
     */
    public int sockets, lingering;

    /** Buffers that wait for slow readers, on all connections together. */
    public int pendingWrites;

    /**
     * So many of them, and every sender is held back at once: slow readers must not fill the
     * memory.
     */
    public int maxPendingWrites = Integer.MAX_VALUE;

    public TunnelRegistry(List<String> profiles) {
        profiles(profiles);
    }

    /**
     * Their names from now on, by their place in the settings: new ones come behind, and what was
     * counted stays.
     */
    public void profiles(List<String> names) {
        profiles = names;
        for (Answer answer : Answer.values()) {
            answers.put(
                    answer, Arrays.copyOf(answers.getOrDefault(answer, new long[0]), names.size()));
        }
    }

    public List<String> profiles() {
        return profiles;
    }

    /** How many tunnels of this profile were answered so. */
    public long answerCount(Answer answer, int profile) {
        return answers.get(answer)[profile];
    }

    private long answerCount(Answer answer) {
        return Arrays.stream(answers.get(answer)).sum();
    }

    /** Final answer: opened; the client is told by whoever owns the tunnel from here on. */
    public void recordOpened(TunnelContext passage) {
        answers.get(Answer.OPENED)[passage.request.profile()]++;
    }

    public void count(String what) {
        counters.merge(what, 1L, Long::sum);
    }

    public void add(String what, long amount) {
        counters.merge(what, amount, Long::sum);
    }

    /** What was counted under this name; an answer's name stands for all profiles. */
    public long counterValue(String what) {
        for (Answer answer : Answer.values()) {
            if (answer.name().toLowerCase().equals(what)) {
                return answerCount(answer);
            }
        }
        return counters.getOrDefault(what, 0L);
    }

    /**
     * Remembers a client's id; false where it was seen before. Guards against clients that bring
     * another's: ids are new with every connection, and two tunnels under one id would be one to
     * the backends.
     */
    public boolean registerId(String id) {
        return !endedIds.containsKey(id) && openIds.add(id);
    }

    /** Opens the record of a tunnel; its number is this relay's own, never a client's. */
    public long enter(TunnelContext passage) {
        passages.put(++lastId, passage);
        return lastId;
    }

    public TunnelContext find(long id) {
        return passages.get(id);
    }

    public List<TunnelContext> all() {
        return List.copyOf(passages.values());
    }

    public int held() {
        return passages.size();
    }

    /** How many tunnels have no socket at a backend yet, or none any more, and will need one. */
    public int undialled() {
        int count = 0;
        for (TunnelContext passage : passages.values()) {
            count += passage.answered || passage.setupPending ? 0 : 1;
        }
        return count;
    }

    /** Is told of every tunnel as it is let go. */
    public void whenLeft(Consumer<TunnelContext> then) {
        left = then;
    }

    public void remove(TunnelContext passage) {
        passages.remove(passage.id);
        left.accept(passage);
        openIds.remove(passage.request.id());
        endedIds.put(passage.request.id(), true);
        if (passage.clientTimer != null) {
            passage.clientTimer.cancel();
        }
    }

    /** Final answer: declined, come back after so many seconds (0: no advice). */
    public void decline(TunnelContext passage, double retryAfter) {
        if (answerCount(passage, Answer.DECLINED)) {
            passage.protocol.decline(passage.client, retryAfter);
            answered(passage);
        }
    }

    /** Final answer: closed with error. */
    public void closeWithError(TunnelContext passage) {
        if (answerCount(passage, Answer.CLOSED_WITH_ERROR)) {
            passage.protocol.closeWithError(passage.client);
            answered(passage);
        }
    }

    /**
     * There is one final answer, so a second is dropped, and so is one to a tunnel that is gone.
     */
    private boolean answerCount(TunnelContext passage, Answer answer) {
        if (passage == null || passage.answered) {
            return false;
        }
        answers.get(answer)[passage.request.profile()]++;
        passage.answered = true;
        passage.finished = true;
        return true;
    }

    private void answered(TunnelContext passage) {
        if (passage.client != null) {
            passage.client.linger();
        }
        remove(passage);
    }

    public void log(String line) {
        LOG.info(line);
    }

    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("held=" + held() + " sockets=" + sockets);
        answers.forEach(
                (answer, by) -> {
                    line.append(' ')
                            .append(answer.name().toLowerCase())
                            .append('=')
                            .append(answerCount(answer));
                    for (int p = 0; p < by.length; p++) {
                        line.append(p == 0 ? " (" : " ")
                                .append(profiles.get(p))
                                .append(' ')
                                .append(by[p]);
                    }
                    line.append(')');
                });
        counters.forEach((k, v) -> line.append(' ').append(k).append('=').append(v));
        return line.toString();
    }
}
