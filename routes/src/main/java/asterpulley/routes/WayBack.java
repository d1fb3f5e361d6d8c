package asterpulley.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Owns how guests go home when their room is back: at a stated part of that room a second, since it is cold, the
 * costliest first, none before it has stayed a while, and none while home is not believed. It must never send one
 * away that an operator spares, nor more than its credit allows, however long home was dark.
 */
public final class WayBack {
    /** What an operator states: the part of a room that may come home a second, seconds that a guest stays at least. */
    public record Pace(double share, double stay) {
    }

    /** A tunnel that stands away from home. */
    public record Guest(long id, double load, double credit, double since, boolean spared) {
        double cost() {
            return load * credit;
        }
    }

    /** So many seconds' worth may go at once. */
    private static final double BURST = 1;

    private final Pace pace;
    private double credit, at;

    public WayBack(Pace pace, double now) {
        this.pace = pace;
        at = now;
    }

    /** Who goes home now; {@code room}: this relay's part of the home pool's, in mean loads. */
    public List<Long> leave(List<Guest> guests, PoolHealth.State home, double room, double now) {
        double passed = Math.max(0, now - at);
        at = now;
        if (home == PoolHealth.State.DARK || home == PoolHealth.State.SUSPECT) {
            credit = 0;
            return List.of();
        }
        double rate = pace.share * room;
        credit = Math.min(Math.max(rate * BURST, 1), credit + rate * passed);
        List<Long> leave = new ArrayList<>();
        List<Guest> order = guests.stream().filter(g -> !g.spared && now - g.since >= pace.stay)
                .sorted(Comparator.comparingDouble(Guest::cost).reversed().thenComparingLong(Guest::id)).toList();
        for (Guest g : order) {
            if (credit < g.load) {
                break;
            }
            credit -= g.load;
            leave.add(g.id);
        }
        return leave;
    }
}
