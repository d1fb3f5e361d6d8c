package asterpulley;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Decides whether sending a tunnel again could have a second effect: by this relay, as another
 * setup, or by the client, after a decline. Servers drop the repeats of a referenced tunnel within
 * its idempotency window, which starts with the first setup that may have run. That setup is
 * remembered by the tunnel's key until the window has ended, so that the same window holds for the
 * client's own retries. Times are in seconds.
 */
final class RetrySafety {
    /**
     * The first setup of a tunnel that may have run.
     *
     * @param sentAt when it was sent
     * @param zone zone of its server
     * @param cell cell of its server
     */
    record PossibleRun(double sentAt, int zone, int cell) {}

    private record RememberedRun(PossibleRun run, double windowEndsAt) {}

    /** Limits the memory that clients' keys take. Beyond it a client is told of an error. */
    private static final int MAX_REMEMBERED_RUNS = 4096;

    /** Time from the moment a client retries until its request has reached this relay. */
    private static final double RETRY_TRANSIT_SECONDS = 0.1;

    /** Advice is told in whole milliseconds, and none stands for a retry at any time. */
    private static final double MIN_RETRY_ADVICE_SECONDS = 0.001;

    private final Map<String, RememberedRun> runsByKey = new LinkedHashMap<>();
    private Settings settings;
    private boolean shuttingDown;

    RetrySafety(Settings settings) {
        this.settings = settings;
    }

    void updateSettings(Settings newSettings) {
        settings = newSettings;
    }

    /** From now on clients retry at another process, which does not know what was sent here. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /** Returns true if another setup is safe on servers of this zone and cell. */
    boolean maySend(
            Settings.Profile profile, PossibleRun possibleRun, int zone, int cell, double now) {
        if (possibleRun == null || profile.repeatability == Settings.Repeatability.REPEATABLE) {
            return true;
        }
        if (profile.repeatability == Settings.Repeatability.ONCE_ONLY
                || now - possibleRun.sentAt > profile.idempotencyWindow) {
            return false;
        }
        return switch (profile.idempotencyScope) {
            case ALL -> true;
            case ZONE -> zone == possibleRun.zone;
            case CELL -> cell == possibleRun.cell;
        };
    }

    /**
     * Returns the longest time after which the client may be told to retry: infinite if every retry
     * is harmless, empty if none is known to be. A referenced tunnel that may have run is retried
     * within its window or not at all.
     *
     * @param key the tunnel's key; may be null
     * @param possibleRun null if nothing may have run
     * @param earlierRunUnknown whether an earlier tunnel of the client may have run too, and when
     *     is not known
     */
    OptionalDouble longestRetryAdvice(
            Settings.Profile profile,
            String key,
            PossibleRun possibleRun,
            boolean earlierRunUnknown,
            double now) {
        if (possibleRun == null || profile.repeatability == Settings.Repeatability.REPEATABLE) {
            return OptionalDouble.of(Double.POSITIVE_INFINITY);
        }
        boolean canBeHarmless =
                profile.repeatability == Settings.Repeatability.REFERENCED
                        && profile.idempotencyScope == Settings.IdempotencyScope.ALL
                        // Without advice the client may retry at any time.
                        && settings.maxRetryAfter > 0
                        && !earlierRunUnknown
                        && isRemembered(key, possibleRun);
        double longestAdvice =
                possibleRun.sentAt + profile.idempotencyWindow - secondsToSendRetry(profile) - now;
        return canBeHarmless && longestAdvice >= MIN_RETRY_ADVICE_SECONDS
                ? OptionalDouble.of(longestAdvice)
                : OptionalDouble.empty();
    }

    /** Returns how much of the window must be left when the client is told to retry. */
    private double secondsToSendRetry(Settings.Profile profile) {
        // Another process does not know when the window ends, and may send setups as long as the
        // client waits. This one ends them with the window, and needs time for the first.
        return RETRY_TRANSIT_SECONDS
                + (retriesReachOtherProcesses()
                        ? profile.clientTimeout
                        : LoadBalancer.MAX_WAIT_GOAL_FRACTION * profile.setupGoal);
    }

    private boolean retriesReachOtherProcesses() {
        return settings.relayCount > 1 || settings.sharesClientsDuringUpgrade || shuttingDown;
    }

    /** Returns true if a tunnel that a client retries may have run without a trace here. */
    boolean mayHaveRunElsewhere(Settings.Profile profile) {
        return profile.repeatability == Settings.Repeatability.REFERENCED
                && retriesReachOtherProcesses();
    }

    private boolean isRemembered(String key, PossibleRun possibleRun) {
        RememberedRun remembered = key == null ? null : runsByKey.get(key);
        return remembered != null && remembered.run.sentAt <= possibleRun.sentAt;
    }

    /**
     * Remembers a tunnel that ended without being opened and may have run, as long as its servers
     * do. Only referenced tunnels can be recognized.
     */
    void remember(Settings.Profile profile, String key, PossibleRun possibleRun, double now) {
        if (key == null
                || possibleRun == null
                || profile.repeatability != Settings.Repeatability.REFERENCED) {
            return;
        }
        removeExpired(now);
        double windowEndsAt = possibleRun.sentAt + profile.idempotencyWindow;
        RememberedRun earlier = runsByKey.get(key);
        if (windowEndsAt <= now || earlier != null && earlier.windowEndsAt > now) {
            return;
        }
        runsByKey.remove(key);
        if (runsByKey.size() < MAX_REMEMBERED_RUNS) {
            runsByKey.put(key, new RememberedRun(possibleRun, windowEndsAt));
        }
    }

    private void removeExpired(double now) {
        Iterator<RememberedRun> runs = runsByKey.values().iterator();
        boolean isFull = runsByKey.size() >= MAX_REMEMBERED_RUNS;
        // Windows differ by profile, so an expired entry may stay behind one that has not expired.
        // All are looked at only when there is no room.
        while (runs.hasNext()) {
            if (runs.next().windowEndsAt <= now) {
                runs.remove();
            } else if (!isFull) {
                return;
            }
        }
    }

    /** Returns the earlier run of the tunnel with this key, or null if none is known. */
    PossibleRun earlierRun(Settings.Profile profile, String key, double now) {
        RememberedRun remembered =
                key == null || profile.repeatability != Settings.Repeatability.REFERENCED
                        ? null
                        : runsByKey.get(key);
        return remembered == null || remembered.windowEndsAt <= now ? null : remembered.run;
    }

    /** Forgets the tunnel with this key: it is open, so that its client does not retry. */
    void forget(String key) {
        runsByKey.remove(key);
    }
}
