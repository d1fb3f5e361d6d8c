package asterpulley.settings;

import asterpulley.Settings;
import asterpulley.decode.Json;
import asterpulley.decode.MergePatch;
import asterpulley.decode.SettingsDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Owns which version of the settings is in force here, without I/O and in the time that it is told.
 * What a service tells is a document that is laid over the relay's own settings: whole, or by
 * changes from version to version (JSON merge patch). Each is tried on a copy and checked whole. It
 * must never have half of a version in force, never go back to an older one, never lose the last
 * good one to a bad one, and never give a profile or customer another place while the process
 * lives.
 */
public final class ActiveSettings {
    /**
     * The history of a service, which only another, higher number replaces, and the version within
     * it.
     */
    public record Version(long epoch, long seq) implements Comparable<Version> {
        /** Before any that a service can tell. */
        public static final Version NONE = new Version(Long.MIN_VALUE, -1);

        @Override
        public int compareTo(Version other) {
            return epoch != other.epoch
                    ? Long.compare(epoch, other.epoch)
                    : Long.compare(seq, other.seq);
        }

        @Override
        public String toString() {
            return equals(NONE) ? "none" : epoch + "/" + seq;
        }
    }

    /** What became of an answer. GAP: what lies between is missing. */
    public enum Kind {
        IN_FORCE,
        REFUSED,
        SAME,
        STALE,
        GAP
    }

    /**
     * {@code changed}: another version is in force; that may be so also where a later one was
     * refused or is missing.
     */
    public record Verdict(Kind kind, boolean changed) {}

    /** A version that can't be in force: the path of the fault, and what it is. */
    public record Refusal(Version version, String reason, double at) {}

    /** A list as it was told, and each of its entries at its place. */
    private record Placed(Object told, List<Object> entries) {}

    private record Told(Version version, Object settings) {}

    private final Map<String, Object> own;
    private final Consumer<Map<String, Object>> readers;

    /** What was told last, good or bad: changes go from there. */
    private Told received = new Told(Version.NONE, null);

    private boolean needsFullDocument = true;

    /** The last good one. */
    private Told good = received;

    /** No answer below it counts: what is in force, until another service is asked. */
    private Version floor = Version.NONE;

    private double activeSince;
    private Refusal lastRefusal;
    private long refusalCount;

    /** By their place, those that were taken away as well. */
    private Set<String> profiles = new LinkedHashSet<>(), customers = new LinkedHashSet<>();

    private final Map<String, Placed> placed = new HashMap<>();
    private Map<String, Object> effectiveDocument;
    private Settings settings;

    /**
     * {@code own}: the settings of the relay's own file, in force until a service tells. {@code
     * readers}: who else reads settings, on a copy, and throws {@link Json.Malformed} where it
     * can't.
     */
    public ActiveSettings(
            Map<String, Object> own, Consumer<Map<String, Object>> readers, double now) {
        this.own = own;
        this.readers = readers;
        activeSince = now;
        adopt(Map.of());
    }

    /**
     * An answer of the service; {@link Json.Malformed} where it has not the form of one: then
     * nothing is changed.
     */
    public Verdict received(Map<String, Object> answer, double now) {
        Version at =
                new Version(
                        answer.get("epoch") == null ? 0 : Json.integer(answer, "epoch"),
                        Json.integer(answer, "seq"));
        if (at.seq < 0 || at.epoch < 0) {
            throw new Json.MalformedException("seq or epoch is below 0");
        }
        boolean whole = Json.flag(answer, "whole");
        if (whole && !answer.containsKey("settings")) {
            throw new Json.MalformedException("field settings is missing");
        }
        Map<Long, Change> changes = whole ? Map.of() : changes(answer);
        // What was refused bounds nothing: a version that was never anybody's must not shut out
        // those that are.
        if (at.compareTo(floor) < 0) {
            return new Verdict(Kind.STALE, false);
        }
        if (whole) {
            needsFullDocument = false;
            if (at.equals(received.version) || at.equals(floor)) {
                received = at.equals(floor) ? good : received;
                return new Verdict(Kind.SAME, false);
            }
            return tried(
                    List.of(new Told(at, MergePatch.apply(null, answer.get("settings")))), now);
        }
        needsFullDocument |= at.epoch != received.version.epoch || at.seq < received.version.seq;
        List<Told> steps = new ArrayList<>();
        long last = received.version.seq;
        Object document = received.settings;
        for (Change next = changes.get(last);
                next != null && !needsFullDocument;
                next = changes.get(last)) {
            last = next.to;
            document = MergePatch.apply(document, next.patch);
            steps.add(new Told(new Version(at.epoch, last), document));
        }
        needsFullDocument |=
                last < changes.values().stream().mapToLong(Change::to).reduce(at.seq, Math::max);
        return steps.isEmpty()
                ? new Verdict(needsFullDocument ? Kind.GAP : Kind.SAME, false)
                : tried(steps, now);
    }

    /** From one version to another. */
    private record Change(long from, long to, Object patch) {}

    /**
     * By the version from which each goes; of two the shorter step, so that the last good version
     * is met everywhere.
     */
    private static Map<Long, Change> changes(Map<String, Object> answer) {
        Map<Long, Change> changes = new HashMap<>();
        for (Object o : Json.list(answer, "changes")) {
            Map<String, Object> change = Json.object(o, "a change");
            long to = Json.integer(change, "seq");
            long from = change.get("from") == null ? to - 1 : Json.integer(change, "from");
            if (from < 0 || from >= to || !change.containsKey("patch")) {
                throw new Json.MalformedException(
                        "a change has no patch, or not one from an earlier version to a later");
            }
            changes.merge(
                    from,
                    new Change(from, to, change.get("patch")),
                    (x, y) -> x.to <= y.to ? x : y);
        }
        return changes;
    }

    /**
     * Versions in their order: the last good one of them is in force from now on, later ones are
     * refused.
     */
    private Verdict tried(List<Told> steps, double now) {
        received = steps.get(steps.size() - 1);
        Kind kind = needsFullDocument ? Kind.GAP : Kind.IN_FORCE;
        for (int i = steps.size() - 1; i >= 0; i--) {
            String wrong = taken(steps.get(i));
            if (wrong == null) {
                activeSince = now;
                return new Verdict(kind, true);
            }
            refusalCount++;
            if (i == steps.size() - 1) {
                lastRefusal = new Refusal(received.version, wrong, now);
                kind = Kind.REFUSED;
            }
        }
        return new Verdict(kind, false);
    }

    /**
     * Puts it in force; the path of what is wrong with it, and all as it was, where it can't be.
     */
    private String taken(Told step) {
        String wrong = Schema.wrong(step.settings, good.settings, own);
        if (wrong != null) {
            return wrong;
        }
        try {
            adopt(Json.object(step.settings, "settings"));
        } catch (Json.MalformedException e) {
            return e.getMessage();
        }
        good = step;
        floor = step.version;
        return null;
    }

    private void adopt(Map<String, Object> document) {
        Set<String> p = new LinkedHashSet<>(profiles), c = new LinkedHashSet<>(customers);
        Map<String, Object> all = effectiveDocument(document, p, c);
        Settings read = SettingsDecoder.decode(all);
        readers.accept(all);
        settings = read;
        effectiveDocument = all;
        profiles = p;
        customers = c;
        placed.put(
                "profiles",
                new Placed(
                        document.getOrDefault("profiles", own.get("profiles")),
                        Json.list(all, "profiles")));
        placed.put(
                "tenants",
                new Placed(
                        document.getOrDefault("tenants", own.get("tenants")),
                        Json.list(all, "tenants")));
    }

    /**
     * All settings with the document laid over the relay's own; each profile and customer at its
     * place.
     */
    private Map<String, Object> effectiveDocument(
            Map<String, Object> document, Set<String> p, Set<String> c) {
        Map<String, Object> plain = new LinkedHashMap<>(document);
        Object profilesTold =
                plain.containsKey("profiles") ? plain.remove("profiles") : own.get("profiles");
        Object customersTold =
                plain.containsKey("tenants") ? plain.remove("tenants") : own.get("tenants");
        Map<String, Object> all = Json.object(MergePatch.apply(own, plain), "settings");
        all.put("profiles", placed("profiles", profilesTold, p, Schema.PROFILES));
        all.put("tenants", placed("tenants", customersTold, c, Schema.CUSTOMERS));
        return all;
    }

    /** One that was taken away keeps its place, for what stands of it, and nothing new names it. */
    private List<Object> placed(String list, Object told, Set<String> places, int most) {
        Placed last = placed.get(list);
        if (last != null && last.told == told && last.entries.size() == places.size()) {
            return last.entries;
        }
        Map<String, Map<String, Object>> now = Schema.byName(told);
        if (list.equals("profiles") && now.isEmpty()) {
            throw new Json.MalformedException("profiles: none is left");
        }
        places.addAll(now.keySet());
        if (places.size() > most) {
            throw new Json.MalformedException(
                    list
                            + ": more than "
                            + most
                            + " names since the start, those taken away counted");
        }
        Map<String, Map<String, Object>> before = Schema.byName(last == null ? null : last.entries);
        List<Object> all = new ArrayList<>();
        for (String name : places) {
            Map<String, Object> one =
                    new LinkedHashMap<>(
                            now.getOrDefault(name, before.getOrDefault(name, Map.of())));
            one.put("name", name);
            one.remove(SettingsDecoder.RETIRED);
            if (!now.containsKey(name)) {
                one.put(SettingsDecoder.RETIRED, true);
                // Whoever stands of it is over no share any more.
                one.remove("share");
            }
            all.add(one);
        }
        return all;
    }

    /**
     * Another service is asked from now on: its history is its own, so its whole counts whatever
     * its version.
     */
    public void serviceChanged() {
        received = new Told(Version.NONE, null);
        floor = Version.NONE;
        needsFullDocument = true;
    }

    /** What to keep over a restart; null where no service has told anything that is in force. */
    public Map<String, Object> snapshot() {
        if (good.version.equals(Version.NONE)) {
            return null;
        }
        Map<String, Object> kept = new LinkedHashMap<>();
        kept.put("epoch", good.version.epoch);
        kept.put("seq", good.version.seq);
        kept.put("since", activeSince);
        kept.put("profiles", List.copyOf(profiles));
        kept.put("customers", List.copyOf(customers));
        kept.put("settings", good.settings);
        return kept;
    }

    /**
     * Goes on from what was kept, before anything was told; {@link Json.Malformed} where it cannot
     * be in force.
     */
    public void restore(Map<String, Object> kept) {
        Version version = new Version(Json.integer(kept, "epoch"), Json.integer(kept, "seq"));
        double from = Json.number(kept, "since", activeSince);
        Set<String> p = places(kept, "profiles", Schema.PROFILES),
                c = places(kept, "customers", Schema.CUSTOMERS);
        Set<String> ownProfiles = profiles, ownCustomers = customers;
        Told whole = new Told(version, kept.get("settings"));
        profiles = p;
        customers = c;
        placed.clear();
        String wrong = version.epoch < 0 || version.seq < 0 ? "a version below 0" : taken(whole);
        if (wrong != null) {
            profiles = ownProfiles;
            customers = ownCustomers;
            throw new Json.MalformedException(wrong);
        }
        received = whole;
        needsFullDocument = false;
        activeSince = from;
    }

    /**
     * The places of the process before, so that what it learned by place is of the same names; too
     * many begin anew.
     */
    private static Set<String> places(Map<String, Object> kept, String list, int most) {
        Set<String> places = new LinkedHashSet<>();
        Json.list(kept, list).forEach(name -> places.add(String.valueOf(name)));
        return places.size() > most / 2 ? new LinkedHashSet<>() : places;
    }

    /** True where only the whole document helps: there is none yet, or changes are missing. */
    public boolean needsFullDocument() {
        return needsFullDocument;
    }

    /** What was told last, good or bad: a service is asked for what is newer. */
    public Version received() {
        return received.version;
    }

    public Version version() {
        return good.version;
    }

    /** When the version in force came in force; before any, when this process started. */
    public double activeSince() {
        return activeSince;
    }

    /** The last one that was refused; null: none. */
    public Refusal lastRefusal() {
        return lastRefusal;
    }

    public long refusalCount() {
        return refusalCount;
    }

    /** What is in force, for the module; never changed once it is handed out. */
    public Settings settings() {
        return settings;
    }

    /**
     * The same as names and values, as a relay's file has them; those taken away are marked as
     * retired.
     */
    public Map<String, Object> effectiveDocument() {
        return effectiveDocument;
    }
}
