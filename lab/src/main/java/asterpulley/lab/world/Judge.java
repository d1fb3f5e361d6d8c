package asterpulley.lab.world;

import asterpulley.Settings;
import asterpulley.lab.plan.Plan;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Owns the rules: whether each was kept, by what clients and servers saw, never by what a relay
 * says of itself. It must never change what happens.
 */
public final class Judge {
    /**
     * One final answer in time; no effect twice; drains kept; no cold server pushed over; moved
     * before cut off.
     */
    public enum Rule {
        ANSWER,
        EFFECT,
        DRAIN,
        COLD,
        MOVE
    }

    /** What a client's own connection and timers may take, beyond what is told to it. */
    static final double SLACK = 0.05;

    private static final int NOTES = 20;

    private final Plan plan;
    private final Map<Rule, Integer> broken = new EnumMap<>(Rule.class);
    private final List<String> notes = new ArrayList<>();

    /**
     * When a relay was told that a server drains or is gone, by relay and server; 0: it was not.
     */
    private final double[][] toldAt;

    /** How far the carrier's own clients may be behind. */
    double pace;

    Judge(Plan plan) {
        this.plan = plan;
        toldAt = new double[plan.relays * plan.rooms.size()][plan.allServers()];
    }

    public int broken(Rule rule) {
        return broken.getOrDefault(rule, 0);
    }

    public int broken() {
        return broken.values().stream().mapToInt(i -> i).sum();
    }

    /** The first few, in words. */
    public List<String> notes() {
        return notes;
    }

    void breaks(Rule rule, double at, String what) {
        broken.merge(rule, 1, Integer::sum);
        if (notes.size() < NOTES) {
            notes.add(String.format("%.3f s: rule %s: %s", at, rule.name().toLowerCase(), what));
        }
    }

    /**
     * A relay has heard of a server's state; the earliest time that it heard of this drain counts.
     */
    void told(int relay, Server server, boolean running, double at) {
        double[] known = toldAt[relay];
        known[server.index] =
                running ? 0 : known[server.index] > 0 ? known[server.index] : Math.max(1e-9, at);
    }

    void forgets(int relay) {
        java.util.Arrays.fill(toldAt[relay], 0);
    }

    /** A setup came to a server, which has it beside those before it. */
    void arrives(Setup setup, double saidAt, double listUpSince, double now) {
        Try t = setup.of;
        Plan.ProfilePlan profile = plan.profiles.get(t.client.born.profile());
        for (Setup before : t.setups) {
            if (!before.provedNotRun && !mayGoAgain(before, setup, profile, now)) {
                breaks(
                        Rule.EFFECT,
                        now,
                        profile.effect.name().toLowerCase()
                                + " tunnel "
                                + t.id()
                                + " may have run at "
                                + before.server.name
                                + " and was sent to "
                                + setup.server.name);
            }
        }
        Server s = setup.server;
        double told = toldAt[t.relay][s.index];
        if (s.draining && !Double.isNaN(s.drainedAt)) {
            // Who asks in time is told by then, unless there was nobody to ask.
            double deemed = Math.max(s.drainedAt, listUpSince) + plan.deemedTold;
            told = told > 0 ? Math.min(told, deemed) : deemed;
        }
        if (told > 0 && saidAt > told + plan.drainGrace + SLACK + pace) {
            breaks(
                    Rule.DRAIN,
                    now,
                    String.format(
                            "relay r%d sent tunnel %s to %s %.3f s after it was told",
                            t.relay + 1, t.id(), s.name, saidAt - told));
        }
    }

    /**
     * Asked a little after a setup came, since news that an earlier one was given up may take
     * longer than the setup.
     */
    void twoOut(Setup before, Setup after, double now) {
        if (before.state != Setup.State.OVER) {
            breaks(
                    Rule.EFFECT,
                    now,
                    "tunnel "
                            + after.of.id()
                            + " has a setup out at "
                            + before.server.name
                            + " and one at "
                            + after.server.name);
        }
    }

    private static boolean mayGoAgain(
            Setup before, Setup after, Plan.ProfilePlan profile, double now) {
        return switch (profile.effect) {
            case REPEATABLE -> true;
            case ONCE_ONLY -> false;
            case REFERENCED ->
                    now - before.arrivedAt <= profile.window + SLACK
                            && (profile.reach == Settings.IdempotencyScope.ALL
                                    || before.server.room == after.server.room);
        };
    }

    /** A client has an answer, or what ends its waiting; {@code excused} where its relay died. */
    void answers(Try t, Try.Answer answer, double now, boolean excused) {
        if (t.answer != Try.Answer.NONE) {
            if (answer != Try.Answer.BROKEN) {
                breaks(
                        Rule.ANSWER,
                        now,
                        "tunnel "
                                + t.id()
                                + " was "
                                + said(t.answer)
                                + " and then "
                                + said(answer));
            }
            return;
        }
        if (answer == Try.Answer.BROKEN) {
            if (!excused) {
                breaks(
                        Rule.ANSWER,
                        now,
                        "tunnel " + t.id() + " ended without an answer at relay r" + (t.relay + 1));
            }
            return;
        }
        if (now > t.saidAt + t.patience + SLACK + pace) {
            breaks(
                    Rule.ANSWER,
                    now,
                    String.format(
                            "tunnel %s was %s %.3f s after its client timeout",
                            t.id(), said(answer), now - t.saidAt - t.patience));
        }
        Plan.ProfilePlan profile = plan.profiles.get(t.client.born.profile());
        if (answer == Try.Answer.DECLINED
                && profile.effect == Settings.Repeatability.ONCE_ONLY
                && t.setups.stream().anyMatch(s -> !s.provedNotRun)) {
            breaks(
                    Rule.EFFECT,
                    now,
                    "once-only tunnel " + t.id() + " may have run and was declined");
        }
    }

    /** A client's time is up and it has heard nothing. */
    void silence(Try t, double now, boolean excused) {
        if (!excused) {
            breaks(
                    Rule.ANSWER,
                    now,
                    "tunnel "
                            + t.id()
                            + " had no answer from relay r"
                            + (t.relay + 1)
                            + " in "
                            + t.patience
                            + " s");
        }
    }

    private static String said(Try.Answer answer) {
        return answer == Try.Answer.ERROR ? "closed with error" : answer.name().toLowerCase();
    }
}
