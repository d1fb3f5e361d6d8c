package asterpulley.lab.world;

import asterpulley.ServerEntry;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Owns the faults of an experiment: what goes wrong when, with whom, and how it ends. It must never
 * look at how the run goes.
 */
final class FaultInjector {
    private final Simulation simulation;
    private final Testbed testbed;

    FaultInjector(Simulation world, Testbed carrier) {
        this.simulation = world;
        this.testbed = carrier;
    }

    void start() {
        int number = 0;
        for (Plan.Fault f : simulation.plan.faults) {
            List<Server> servers =
                    selectServers(f, new Random(simulation.plan.seed * 31 + number++));
            testbed.schedule(f.at - testbed.now(), () -> inject(f, servers));
        }
    }

    /** Those named, or of the room, or a part of all; drawn by the seed, never by the run. */
    private List<Server> selectServers(Plan.Fault f, Random random) {
        List<Server> of = new ArrayList<>();
        for (Server s : simulation.servers) {
            boolean named =
                    f.servers.isEmpty()
                            || f.servers.stream()
                                    .anyMatch(p -> PlanReader.matchesPattern(p, s.name));
            if (named && (f.room == null || simulation.plan.rooms.get(s.room).equals(f.room))) {
                of.add(s);
            }
        }
        if (f.count > 0 || f.share < 1) {
            int many =
                    f.count > 0
                            ? Math.min(f.count, of.size())
                            : (int) Math.ceil(f.share * of.size());
            Collections.shuffle(of, random);
            of = new ArrayList<>(of.subList(0, many));
            of.sort((a, b) -> a.index - b.index);
        }
        return of;
    }

    private List<Integer> selectRelays(Plan.Fault f) {
        List<Integer> of = new ArrayList<>();
        for (int r = 0; r < simulation.relayCount(); r++) {
            boolean all = f.room == null || f.kind.equals("relay-cut");
            boolean named = f.relays.isEmpty() ? all && r == 0 : f.relays.contains("r" + (r + 1));
            if (named
                    || f.relays.isEmpty()
                            && !all
                            && simulation
                                    .plan
                                    .rooms
                                    .get(simulation.roomOfRelay(r))
                                    .equals(f.room)) {
                of.add(r);
            }
        }
        return of;
    }

    private void inject(Plan.Fault f, List<Server> servers) {
        switch (f.kind) {
            case "silent" ->
                    applyTemporarily(f, servers, s -> s.silent = true, s -> s.silent = false);
            case "no-answer" ->
                    applyTemporarily(f, servers, s -> s.noAnswer = true, s -> s.noAnswer = false);
            case "refuse" ->
                    applyTemporarily(f, servers, s -> s.refusing = true, s -> s.refusing = false);
            case "reset" ->
                    applyTemporarily(f, servers, s -> s.resetting = true, s -> s.resetting = false);
            case "slow" ->
                    applyTemporarily(f, servers, s -> s.slowdown = f.factor, s -> s.slowdown = 1);
            case "errors" ->
                    applyTemporarily(
                            f, servers, s -> s.errorShare = f.share, s -> s.errorShare = 0);
            case "vanish", "room-dark" -> servers.forEach(s -> vanish(s, f.duration));
            case "crash" ->
                    servers.forEach(
                            s -> {
                                simulation.stopServer(s, f.duration, false);
                                simulation.publishState(s, ServerEntry.State.GONE);
                            });
            case "drain" -> servers.forEach(s -> drain(s, f));
            case "deploy" -> {
                double after = 0;
                for (Server s : servers) {
                    testbed.schedule(after, () -> drain(s, f));
                    after += f.stepInterval;
                }
            }
            case "store-slow" -> {
                simulation.sessionStore.slowdown = f.factor;
                testbed.schedule(f.duration, () -> simulation.sessionStore.slowdown = 1);
            }
            case "room-cut" -> {
                int room = simulation.plan.rooms.indexOf(f.room);
                simulation.setRoomCutOff(room, true);
                testbed.schedule(f.duration, () -> simulation.setRoomCutOff(room, false));
            }
            case "relay-cut" ->
                    selectRelays(f)
                            .forEach(
                                    r -> {
                                        int room = simulation.plan.rooms.indexOf(f.room);
                                        simulation.setRelayCutOff(r, room, true);
                                        testbed.schedule(
                                                f.duration,
                                                () -> simulation.setRelayCutOff(r, room, false));
                                    });
            case "reload" -> {
                if (!Double.isNaN(f.spillShare)) {
                    Map<String, Object> routes = new LinkedHashMap<>(simulation.plan.routes);
                    routes.put("share", f.spillShare);
                    simulation.plan.routes = routes;
                }
                testbed.reloadRelays();
            }
            case "list-down" -> {
                setServerListDown(true);
                testbed.schedule(f.duration, () -> setServerListDown(false));
            }
            case "list-late" -> {
                simulation.registry.extraDelay = f.factor;
                testbed.schedule(f.duration, () -> simulation.registry.extraDelay = 0);
            }
            case "relay-kill" ->
                    selectRelays(f)
                            .forEach(
                                    r -> {
                                        testbed.killRelay(r);
                                        testbed.schedule(f.downTime, () -> testbed.startRelay(r));
                                    });
            case "relay-restart" ->
                    selectRelays(f)
                            .forEach(
                                    r -> {
                                        simulation.onRelayStopped(
                                                r,
                                                () ->
                                                        testbed.schedule(
                                                                f.downTime,
                                                                () -> testbed.startRelay(r)));
                                        simulation.shutDownRelay(r);
                                    });
            case "reconnect" -> simulation.disconnectShare(f.share, f.withinSeconds);
            default -> {
                // A crowd is part of the load.
            }
        }
    }

    private void applyTemporarily(
            Plan.Fault f, List<Server> servers, Consumer<Server> on, Consumer<Server> off) {
        double now = testbed.now();
        servers.forEach(
                s -> {
                    s.advanceTo(now);
                    on.accept(s);
                });
        testbed.schedule(
                f.duration,
                () -> {
                    servers.forEach(
                            s -> {
                                s.advanceTo(testbed.now());
                                off.accept(s);
                            });
                    simulation.deliverPending();
                });
    }

    /** Says nothing, then is back empty and cold; the list learns of the end and of the start. */
    private void vanish(Server s, double lasts) {
        s.advanceTo(testbed.now());
        s.silent = s.vanished = true;
        simulation.publishState(s, ServerEntry.State.GONE);
        testbed.schedule(lasts, () -> simulation.stopServer(s, 0, false));
    }

    /** A planned restart: it wants nothing new, finishes for a time, ends, and is back cold. */
    private void drain(Server s, Plan.Fault f) {
        simulation.startDraining(s);
        testbed.schedule(
                f.drainTime,
                () -> {
                    simulation.stopServer(s, f.downTime, true);
                    simulation.publishState(s, ServerEntry.State.GONE);
                });
    }

    private void setServerListDown(boolean down) {
        simulation.registry.down = down;
        simulation.registry.upSince = testbed.now();
        testbed.setServerListDown(down);
    }
}
