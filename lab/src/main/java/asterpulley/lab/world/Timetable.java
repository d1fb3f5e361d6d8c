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
final class Timetable {
    private final World world;
    private final Carrier carrier;

    Timetable(World world, Carrier carrier) {
        this.world = world;
        this.carrier = carrier;
    }

    void start() {
        int number = 0;
        for (Plan.Fault f : world.plan.faults) {
            List<Server> servers = servers(f, new Random(world.plan.seed * 31 + number++));
            carrier.after(f.at - carrier.now(), () -> begin(f, servers));
        }
    }

    /** Those named, or of the room, or a part of all; drawn by the seed, never by the run. */
    private List<Server> servers(Plan.Fault f, Random random) {
        List<Server> of = new ArrayList<>();
        for (Server s : world.servers) {
            boolean named =
                    f.servers.isEmpty()
                            || f.servers.stream().anyMatch(p -> PlanReader.matches(p, s.name));
            if (named && (f.room == null || world.plan.rooms.get(s.room).equals(f.room))) {
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

    private List<Integer> relays(Plan.Fault f) {
        List<Integer> of = new ArrayList<>();
        for (int r = 0; r < world.relays(); r++) {
            boolean all = f.room == null || f.kind.equals("relay-cut");
            boolean named = f.relays.isEmpty() ? all && r == 0 : f.relays.contains("r" + (r + 1));
            if (named
                    || f.relays.isEmpty()
                            && !all
                            && world.plan.rooms.get(world.roomOfRelay(r)).equals(f.room)) {
                of.add(r);
            }
        }
        return of;
    }

    private void begin(Plan.Fault f, List<Server> servers) {
        switch (f.kind) {
            case "silent" -> during(f, servers, s -> s.silent = true, s -> s.silent = false);
            case "no-answer" -> during(f, servers, s -> s.noAnswer = true, s -> s.noAnswer = false);
            case "refuse" -> during(f, servers, s -> s.refusing = true, s -> s.refusing = false);
            case "reset" -> during(f, servers, s -> s.resetting = true, s -> s.resetting = false);
            case "slow" -> during(f, servers, s -> s.slow = f.factor, s -> s.slow = 1);
            case "errors" -> during(f, servers, s -> s.errorShare = f.share, s -> s.errorShare = 0);
            case "vanish", "room-dark" -> servers.forEach(s -> vanish(s, f.lasts));
            case "crash" ->
                    servers.forEach(
                            s -> {
                                world.dies(s, f.lasts, false);
                                world.list(s, ServerEntry.State.GONE);
                            });
            case "drain" -> servers.forEach(s -> drain(s, f));
            case "deploy" -> {
                double after = 0;
                for (Server s : servers) {
                    carrier.after(after, () -> drain(s, f));
                    after += f.step;
                }
            }
            case "store-slow" -> {
                world.store.slow = f.factor;
                carrier.after(f.lasts, () -> world.store.slow = 1);
            }
            case "room-cut" -> {
                int room = world.plan.rooms.indexOf(f.room);
                world.cutOff(room, true);
                carrier.after(f.lasts, () -> world.cutOff(room, false));
            }
            case "relay-cut" ->
                    relays(f)
                            .forEach(
                                    r -> {
                                        int room = world.plan.rooms.indexOf(f.room);
                                        world.cutOffRelay(r, room, true);
                                        carrier.after(
                                                f.lasts, () -> world.cutOffRelay(r, room, false));
                                    });
            case "reload" -> {
                if (!Double.isNaN(f.spill)) {
                    Map<String, Object> routes = new LinkedHashMap<>(world.plan.routes);
                    routes.put("share", f.spill);
                    world.plan.routes = routes;
                }
                carrier.reloadRelays();
            }
            case "list-down" -> {
                listDown(true);
                carrier.after(f.lasts, () -> listDown(false));
            }
            case "list-late" -> {
                world.registry.late = f.factor;
                carrier.after(f.lasts, () -> world.registry.late = 0);
            }
            case "relay-kill" ->
                    relays(f)
                            .forEach(
                                    r -> {
                                        carrier.killRelay(r);
                                        carrier.after(f.down, () -> carrier.startRelay(r));
                                    });
            case "relay-restart" ->
                    relays(f)
                            .forEach(
                                    r -> {
                                        world.whenDied(
                                                r,
                                                () ->
                                                        carrier.after(
                                                                f.down,
                                                                () -> carrier.startRelay(r)));
                                        world.relayLeaves(r);
                                    });
            case "reconnect" -> world.reconnect(f.share, f.within);
            default -> {
                // A crowd is part of the load.
            }
        }
    }

    private void during(
            Plan.Fault f, List<Server> servers, Consumer<Server> on, Consumer<Server> off) {
        double now = carrier.now();
        servers.forEach(
                s -> {
                    s.advance(now);
                    on.accept(s);
                });
        carrier.after(
                f.lasts,
                () -> {
                    servers.forEach(
                            s -> {
                                s.advance(carrier.now());
                                off.accept(s);
                            });
                    world.hear();
                });
    }

    /** Says nothing, then is back empty and cold; the list learns of the end and of the start. */
    private void vanish(Server s, double lasts) {
        s.advance(carrier.now());
        s.silent = s.vanished = true;
        world.list(s, ServerEntry.State.GONE);
        carrier.after(lasts, () -> world.dies(s, 0, false));
    }

    /** A planned restart: it wants nothing new, finishes for a time, ends, and is back cold. */
    private void drain(Server s, Plan.Fault f) {
        world.drains(s);
        carrier.after(
                f.drain,
                () -> {
                    world.dies(s, f.down, true);
                    world.list(s, ServerEntry.State.GONE);
                });
    }

    private void listDown(boolean down) {
        world.registry.down = down;
        world.registry.upSince = carrier.now();
        carrier.listDown(down);
    }
}
