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
 * Injects the faults of an experiment at their times, and ends them. It must not depend on how the
 * run goes.
 */
final class FaultInjector {
    private final Simulation simulation;
    private final Testbed testbed;

    FaultInjector(Simulation simulation, Testbed testbed) {
        this.simulation = simulation;
        this.testbed = testbed;
    }

    void start() {
        int faultIndex = 0;
        for (Plan.Fault fault : simulation.plan.faults) {
            List<Server> servers =
                    selectServers(fault, new Random(simulation.plan.seed * 31 + faultIndex++));
            testbed.schedule(fault.at - testbed.now(), () -> inject(fault, servers));
        }
    }

    /**
     * The servers named, or of the room, or a share of all; drawn from the seed, never from the
     * state of the run.
     */
    private List<Server> selectServers(Plan.Fault fault, Random random) {
        List<Server> selected = new ArrayList<>();
        for (Server server : simulation.servers) {
            boolean named =
                    fault.servers.isEmpty()
                            || fault.servers.stream()
                                    .anyMatch(
                                            pattern ->
                                                    PlanReader.matchesPattern(
                                                            pattern, server.name));
            if (named
                    && (fault.room == null
                            || simulation.plan.rooms.get(server.room).equals(fault.room))) {
                selected.add(server);
            }
        }
        if (fault.count > 0 || fault.share < 1) {
            int limit =
                    fault.count > 0
                            ? Math.min(fault.count, selected.size())
                            : (int) Math.ceil(fault.share * selected.size());
            Collections.shuffle(selected, random);
            selected = new ArrayList<>(selected.subList(0, limit));
            selected.sort((a, b) -> a.index - b.index);
        }
        return selected;
    }

    private List<Integer> selectRelays(Plan.Fault fault) {
        List<Integer> selected = new ArrayList<>();
        for (int relay = 0; relay < simulation.relayCount(); relay++) {
            boolean inAnyRoom = fault.room == null || fault.kind.equals("relay-cut");
            boolean named =
                    fault.relays.isEmpty()
                            ? inAnyRoom && relay == 0
                            : fault.relays.contains("r" + (relay + 1));
            if (named
                    || fault.relays.isEmpty()
                            && !inAnyRoom
                            && simulation
                                    .plan
                                    .rooms
                                    .get(simulation.roomOfRelay(relay))
                                    .equals(fault.room)) {
                selected.add(relay);
            }
        }
        return selected;
    }

    private void inject(Plan.Fault fault, List<Server> servers) {
        switch (fault.kind) {
            case "silent" ->
                    applyTemporarily(
                            fault,
                            servers,
                            server -> server.silent = true,
                            server -> server.silent = false);
            case "no-answer" ->
                    applyTemporarily(
                            fault,
                            servers,
                            server -> server.noAnswer = true,
                            server -> server.noAnswer = false);
            case "refuse" ->
                    applyTemporarily(
                            fault,
                            servers,
                            server -> server.refusing = true,
                            server -> server.refusing = false);
            case "reset" ->
                    applyTemporarily(
                            fault,
                            servers,
                            server -> server.resetting = true,
                            server -> server.resetting = false);
            case "slow" ->
                    applyTemporarily(
                            fault,
                            servers,
                            server -> server.slowdown = fault.factor,
                            server -> server.slowdown = 1);
            case "errors" ->
                    applyTemporarily(
                            fault,
                            servers,
                            server -> server.errorShare = fault.share,
                            server -> server.errorShare = 0);
            case "vanish", "room-dark" -> servers.forEach(server -> vanish(server, fault.duration));
            case "crash" ->
                    servers.forEach(
                            server -> {
                                simulation.stopServer(server, fault.duration, false);
                                simulation.publishState(server, ServerEntry.State.GONE);
                            });
            case "drain" -> servers.forEach(server -> drain(server, fault));
            case "deploy" -> {
                double delay = 0;
                for (Server server : servers) {
                    testbed.schedule(delay, () -> drain(server, fault));
                    delay += fault.stepInterval;
                }
            }
            case "store-slow" -> {
                simulation.sessionStore.slowdown = fault.factor;
                testbed.schedule(fault.duration, () -> simulation.sessionStore.slowdown = 1);
            }
            case "room-cut" -> {
                int room = simulation.plan.rooms.indexOf(fault.room);
                simulation.setRoomCutOff(room, true);
                testbed.schedule(fault.duration, () -> simulation.setRoomCutOff(room, false));
            }
            case "relay-cut" ->
                    selectRelays(fault)
                            .forEach(
                                    relay -> {
                                        int room = simulation.plan.rooms.indexOf(fault.room);
                                        simulation.setRelayCutOff(relay, room, true);
                                        testbed.schedule(
                                                fault.duration,
                                                () ->
                                                        simulation.setRelayCutOff(
                                                                relay, room, false));
                                    });
            case "reload" -> {
                if (!Double.isNaN(fault.spillShare)) {
                    Map<String, Object> routes = new LinkedHashMap<>(simulation.plan.routes);
                    routes.put("share", fault.spillShare);
                    simulation.plan.routes = routes;
                }
                testbed.reloadRelays();
            }
            case "list-down" -> {
                setServerListDown(true);
                testbed.schedule(fault.duration, () -> setServerListDown(false));
            }
            case "list-late" -> {
                simulation.registry.extraDelay = fault.factor;
                testbed.schedule(fault.duration, () -> simulation.registry.extraDelay = 0);
            }
            case "relay-kill" ->
                    selectRelays(fault)
                            .forEach(
                                    relay -> {
                                        testbed.killRelay(relay);
                                        testbed.schedule(
                                                fault.downTime, () -> testbed.startRelay(relay));
                                    });
            case "relay-restart" ->
                    selectRelays(fault)
                            .forEach(
                                    relay -> {
                                        simulation.onRelayStopped(
                                                relay,
                                                () ->
                                                        testbed.schedule(
                                                                fault.downTime,
                                                                () -> testbed.startRelay(relay)));
                                        simulation.shutDownRelay(relay);
                                    });
            case "reconnect" -> simulation.disconnectShare(fault.share, fault.withinSeconds);
            default -> {
                // A crowd is part of the generated load.
            }
        }
    }

    private void applyTemporarily(
            Plan.Fault fault, List<Server> servers, Consumer<Server> begin, Consumer<Server> end) {
        double now = testbed.now();
        servers.forEach(
                server -> {
                    server.advanceTo(now);
                    begin.accept(server);
                });
        testbed.schedule(
                fault.duration,
                () -> {
                    servers.forEach(
                            server -> {
                                server.advanceTo(testbed.now());
                                end.accept(server);
                            });
                    simulation.deliverPending();
                });
    }

    /**
     * The server stops responding and is restarted empty and cold; the list learns of the end and
     * of the start.
     */
    private void vanish(Server server, double duration) {
        server.advanceTo(testbed.now());
        server.silent = server.vanished = true;
        simulation.publishState(server, ServerEntry.State.GONE);
        testbed.schedule(duration, () -> simulation.stopServer(server, 0, false));
    }

    /** A planned restart: the server drains for a time, stops, and is restarted cold. */
    private void drain(Server server, Plan.Fault fault) {
        simulation.startDraining(server);
        testbed.schedule(
                fault.drainTime,
                () -> {
                    simulation.stopServer(server, fault.downTime, true);
                    simulation.publishState(server, ServerEntry.State.GONE);
                });
    }

    private void setServerListDown(boolean down) {
        simulation.registry.down = down;
        simulation.registry.upSince = testbed.now();
        testbed.setServerListDown(down);
    }
}
