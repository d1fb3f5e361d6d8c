package asterpulley.lab.world;

import asterpulley.Settings;
import asterpulley.lab.plan.Plan;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Checks whether the rules were kept, by what clients and servers saw, never by what a relay
 * reports about itself. It must not influence the run.
 */
public final class RuleChecker {
    /**
     * ANSWER: one final answer in time. EFFECT: no effect twice. DRAIN: no setups to a draining
     * server. COLD: no cold server is pushed into collapse. MOVE: clients are moved before they are
     * cut off.
     */
    public enum Rule {
        ANSWER,
        EFFECT,
        DRAIN,
        COLD,
        MOVE
    }

    /** What a client's own connection and timers may take, beyond the timeout that it was given. */
    static final double SLACK_SECONDS = 0.05;

    private static final int MAX_NOTES = 20;

    private final Plan plan;
    private final Map<Rule, Integer> violations = new EnumMap<>(Rule.class);
    private final List<String> notes = new ArrayList<>();

    /**
     * When a relay learned that a server drains or is gone, by relay and server; 0 if it has not.
     */
    private final double[][] drainKnownAt;

    /** By how many seconds the testbed's own clients may be late. */
    double clockTolerance;

    RuleChecker(Plan plan) {
        this.plan = plan;
        drainKnownAt = new double[plan.relaysPerRoom * plan.rooms.size()][plan.serverCount()];
    }

    public int violationCount(Rule rule) {
        return violations.getOrDefault(rule, 0);
    }

    public int violationCount() {
        return violations.values().stream().mapToInt(i -> i).sum();
    }

    /** Descriptions of the first violations. */
    public List<String> notes() {
        return notes;
    }

    void recordViolation(Rule rule, double at, String description) {
        violations.merge(rule, 1, Integer::sum);
        if (notes.size() < MAX_NOTES) {
            notes.add(
                    String.format(
                            "%.3f s: rule %s: %s", at, rule.name().toLowerCase(), description));
        }
    }

    /**
     * A relay has received the state of a server; the earliest time at which it learned of this
     * drain counts.
     */
    void recordListedState(int relay, Server server, boolean running, double at) {
        double[] drainKnownAtByServer = drainKnownAt[relay];
        drainKnownAtByServer[server.index] =
                running
                        ? 0
                        : drainKnownAtByServer[server.index] > 0
                                ? drainKnownAtByServer[server.index]
                                : Math.max(1e-9, at);
    }

    void forgetRelay(int relay) {
        java.util.Arrays.fill(drainKnownAt[relay], 0);
    }

    /**
     * Checks a setup that reached a server against the earlier setups of its request and against
     * drains.
     */
    void checkSetup(Setup setup, double sentAt, double listUpSince, double now) {
        ClientRequest request = setup.request;
        Plan.ProfilePlan profile = plan.profiles.get(request.client.spec.profileIndex());
        for (Setup before : request.setups) {
            if (!before.provenNotRun && !mayRetry(before, setup, profile, now)) {
                recordViolation(
                        Rule.EFFECT,
                        now,
                        profile.repeatability.name().toLowerCase()
                                + " tunnel "
                                + request.id()
                                + " may have run at "
                                + before.server.name
                                + " and was sent to "
                                + setup.server.name);
            }
        }
        Server server = setup.server;
        double knownAt = drainKnownAt[request.relay][server.index];
        if (server.draining && !Double.isNaN(server.drainingSince)) {
            // A relay that polls as often as it must knows by then, unless the list service was
            // down.
            double assumedKnownAt =
                    Math.max(server.drainingSince, listUpSince) + plan.assumedListDelay;
            knownAt = knownAt > 0 ? Math.min(knownAt, assumedKnownAt) : assumedKnownAt;
        }
        if (knownAt > 0 && sentAt > knownAt + plan.drainGrace + SLACK_SECONDS + clockTolerance) {
            recordViolation(
                    Rule.DRAIN,
                    now,
                    String.format(
                            "relay r%d sent tunnel %s to %s %.3f s after it was told",
                            request.relay + 1, request.id(), server.name, sentAt - knownAt));
        }
    }

    /**
     * Called a little after the later setup arrived, since the cancellation of the earlier one may
     * take longer to arrive than the new setup.
     */
    void checkConcurrentSetups(Setup before, Setup after, double now) {
        if (before.state != Setup.State.CLOSED) {
            recordViolation(
                    Rule.EFFECT,
                    now,
                    "tunnel "
                            + after.request.id()
                            + " has a setup out at "
                            + before.server.name
                            + " and one at "
                            + after.server.name);
        }
    }

    private static boolean mayRetry(
            Setup before, Setup after, Plan.ProfilePlan profile, double now) {
        return switch (profile.repeatability) {
            case REPEATABLE -> true;
            case ONCE_ONLY -> false;
            case REFERENCED ->
                    now - before.arrivedAt <= profile.idempotencyWindow + SLACK_SECONDS
                            && (profile.idempotencyScope == Settings.IdempotencyScope.ALL
                                    || before.server.room == after.server.room);
        };
    }

    /** Checks an answer, or the end of the connection; {@code excused} if its relay has stopped. */
    void checkAnswer(
            ClientRequest request, ClientRequest.Answer answer, double now, boolean excused) {
        if (request.answer != ClientRequest.Answer.NONE) {
            if (answer != ClientRequest.Answer.BROKEN) {
                recordViolation(
                        Rule.ANSWER,
                        now,
                        "tunnel "
                                + request.id()
                                + " was "
                                + answerText(request.answer)
                                + " and then "
                                + answerText(answer));
            }
            return;
        }
        if (answer == ClientRequest.Answer.BROKEN) {
            if (!excused) {
                recordViolation(
                        Rule.ANSWER,
                        now,
                        "tunnel "
                                + request.id()
                                + " ended without an answer at relay r"
                                + (request.relay + 1));
            }
            return;
        }
        if (now > request.sentAt + request.clientTimeout + SLACK_SECONDS + clockTolerance) {
            recordViolation(
                    Rule.ANSWER,
                    now,
                    String.format(
                            "tunnel %s was %s %.3f s after its client timeout",
                            request.id(),
                            answerText(answer),
                            now - request.sentAt - request.clientTimeout));
        }
        Plan.ProfilePlan profile = plan.profiles.get(request.client.spec.profileIndex());
        if (answer == ClientRequest.Answer.DECLINED
                && profile.repeatability == Settings.Repeatability.ONCE_ONLY
                && request.setups.stream().anyMatch(setup -> !setup.provenNotRun)) {
            recordViolation(
                    Rule.EFFECT,
                    now,
                    "once-only tunnel " + request.id() + " may have run and was declined");
        }
    }

    /** The client timeout has passed without an answer. */
    void recordMissingAnswer(ClientRequest request, double now, boolean excused) {
        if (!excused) {
            recordViolation(
                    Rule.ANSWER,
                    now,
                    "tunnel "
                            + request.id()
                            + " had no answer from relay r"
                            + (request.relay + 1)
                            + " in "
                            + request.clientTimeout
                            + " s");
        }
    }

    private static String answerText(ClientRequest.Answer answer) {
        return answer == ClientRequest.Answer.ERROR
                ? "closed with error"
                : answer.name().toLowerCase();
    }
}
