package asterpulley.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns how guests go home when their room is back: no faster than that room bears, since it is
 * cold, the costliest first, none before it has stayed a while, and longer each time that it was
 * sent before. It must never send one away that an operator spares, nor more than its credit
 * allows, however long home was dark.
 */
public final class WayBack {
    /** A tunnel that stands away from home. */
    public record Guest(
            long id, String key, double load, double credit, double since, boolean spared) {
        double cost() {
            return load * credit;
        }
    }

    /** So many seconds' worth may go at once. */
    private static final double BURST = 1;

    /**
     * Clients that were sent home are remembered, so many of them, and so many doublings of their
     * stay.
     */
    private static final int REMEMBERED = 4096, DOUBLINGS = 4;

    private final Map<String, Integer> sent =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
                    return size() > REMEMBERED;
                }
            };
    private double credit, at;

    public WayBack(double now) {
        at = now;
    }

    /**
     * Who goes home now; {@code bears}: mean loads a second that home can take from here, 0 while
     * it is not believed.
     */
    public List<Long> leave(List<Guest> guests, double stay, double bears, double now) {
        double passed = Math.max(0, now - at);
        at = now;
        if (bears <= 0) {
            credit = 0;
            return List.of();
        }
        credit = Math.min(Math.max(bears * BURST, 1), credit + bears * passed);
        List<Long> leave = new ArrayList<>();
        List<Guest> order =
                guests.stream()
                        .filter(g -> !g.spared && now - g.since >= staysFor(g, stay))
                        .sorted(
                                Comparator.comparingDouble(Guest::cost)
                                        .reversed()
                                        .thenComparingLong(Guest::id))
                        .toList();
        for (Guest g : order) {
            // One that loads more than is ever saved up must still get home.
            if (credit < Math.min(g.load, 1)) {
                break;
            }
            credit -= g.load;
            leave.add(g.id);
            if (g.key != null) {
                sent.merge(g.key, 1, Integer::sum);
            }
        }
        return leave;
    }

    private double staysFor(Guest g, double stay) {
        return stay * (1 << Math.min(DOUBLINGS, g.key == null ? 0 : sent.getOrDefault(g.key, 0)));
    }
}
