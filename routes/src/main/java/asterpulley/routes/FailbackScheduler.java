package asterpulley.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the spilled tunnels that fail back once their home pool is back. They move no faster than
 * home can take, since its servers may be cold, and the costliest move first. Each tunnel stays for
 * a minimum time first, which doubles each time that its client was moved before. Exempt tunnels
 * never move, and the load that may move at once is bounded however long home was unavailable.
 */
public final class FailbackScheduler {
    /** An open tunnel outside its home pool. */
    public record SpilledTunnel(
            long id,
            String clientKey,
            double load,
            double credit,
            double openedAt,
            boolean exempt) {
        double cost() {
            return load * credit;
        }
    }

    /** Seconds' worth of the rate that may move at once. */
    private static final double BURST_SECONDS = 1;

    /**
     * Number of clients whose failbacks are remembered, and how often their minimum stay doubles at
     * most.
     */
    private static final int MAX_REMEMBERED_CLIENTS = 4096, MAX_STAY_DOUBLINGS = 4;

    private final Map<String, Integer> failbacksByClient =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
                    return size() > MAX_REMEMBERED_CLIENTS;
                }
            };
    private double allowedLoad, updatedAt;

    public FailbackScheduler(double now) {
        updatedAt = now;
    }

    /**
     * Returns the ids of the tunnels that fail back now. {@code loadPerSecond} is what home can
     * take from this relay, in mean tunnel loads; 0 while home is not trusted.
     */
    public List<Long> selectTunnels(
            List<SpilledTunnel> spilledTunnels,
            double minStaySeconds,
            double loadPerSecond,
            double now) {
        double elapsed = Math.max(0, now - updatedAt);
        updatedAt = now;
        if (loadPerSecond <= 0) {
            allowedLoad = 0;
            return List.of();
        }
        allowedLoad =
                Math.min(
                        Math.max(loadPerSecond * BURST_SECONDS, 1),
                        allowedLoad + loadPerSecond * elapsed);
        List<Long> selectedIds = new ArrayList<>();
        List<SpilledTunnel> eligible =
                spilledTunnels.stream()
                        .filter(
                                tunnel ->
                                        !tunnel.exempt
                                                && now - tunnel.openedAt
                                                        >= minStayOf(tunnel, minStaySeconds))
                        .sorted(
                                Comparator.comparingDouble(SpilledTunnel::cost)
                                        .reversed()
                                        .thenComparingLong(SpilledTunnel::id))
                        .toList();
        for (SpilledTunnel tunnel : eligible) {
            // A tunnel whose load exceeds the largest possible allowance must still be able to
            // move.
            if (allowedLoad < Math.min(tunnel.load, 1)) {
                break;
            }
            allowedLoad -= tunnel.load;
            selectedIds.add(tunnel.id);
            if (tunnel.clientKey != null) {
                failbacksByClient.merge(tunnel.clientKey, 1, Integer::sum);
            }
        }
        return selectedIds;
    }

    private double minStayOf(SpilledTunnel tunnel, double minStaySeconds) {
        return minStaySeconds
                * (1
                        << Math.min(
                                MAX_STAY_DOUBLINGS,
                                tunnel.clientKey == null
                                        ? 0
                                        : failbacksByClient.getOrDefault(tunnel.clientKey, 0)));
    }
}
