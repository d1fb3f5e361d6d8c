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
 * Decides which version of the settings is active in this relay. It does no I/O and takes the time
 * from its caller. A settings service sends a document that is merged over the relay's own
 * settings, either whole or as changes from version to version (JSON merge patch). Each version is
 * applied to a copy and validated completely before it is activated.
 *
 * <p>Invariants: a version is never active in part; an older version of a service never replaces a
 * newer one; an invalid version never displaces the last valid one; and a profile or customer never
 * changes its index while the process lives.
 */
public final class ActiveSettings {
    /**
     * A version of the settings: the history of a service, which only a history with a higher
     * number replaces, and the version within that history.
     */
    public record Version(long epoch, long seq) implements Comparable<Version> {
        /** Sorts before every version that a service can send. */
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

    /**
     * How an answer was handled; counters have these names in lower case. SAME: it contained no
     * other version than the one known. STALE: its version is older than the active one. GAP:
     * changes between the version known here and those in the answer are missing.
     */
    public enum Kind {
        IN_FORCE,
        REFUSED,
        SAME,
        STALE,
        GAP
    }

    /**
     * The result of applying an answer. {@code changed}: another version became active, which is
     * possible also if a later version was refused or is missing.
     */
    public record UpdateResult(Kind kind, boolean changed) {}

    /** A version that was refused, and the path and description of its first error. */
    public record Refusal(Version version, String reason, double refusedAt) {}

    /** A list as it was given, and its entries by their stable index. */
    private record StableList(Object source, List<Object> entries) {}

    /** A version and its whole settings document. */
    private record VersionedDocument(Version version, Object document) {}

    private final Map<String, Object> ownSettings;
    private final Consumer<Map<String, Object>> validator;

    /** The version received last, valid or not; the next changes are applied to it. */
    private VersionedDocument received = new VersionedDocument(Version.NONE, null);

    private boolean needsFullDocument = true;

    /** The last valid version, which is the active one. */
    private VersionedDocument lastGood = received;

    /**
     * Answers with a lower version are ignored: the active version, until another service is asked.
     */
    private Version minVersion = Version.NONE;

    private double activeSince;
    private Refusal lastRefusal;
    private long refusalCount;

    /** Names in the order of their index, including removed ones. */
    private Set<String> profileOrder = new LinkedHashSet<>(), customerOrder = new LinkedHashSet<>();

    private final Map<String, StableList> stableLists = new HashMap<>();
    private Map<String, Object> effectiveDocument;
    private Settings settings;

    /**
     * @param ownSettings the settings of the relay's own file, active until a service sends others
     * @param validator another reader of the settings, called with the merged document before it is
     *     activated; it throws {@link Json.MalformedException} if it cannot use them
     * @param now the time, in seconds
     */
    public ActiveSettings(
            Map<String, Object> ownSettings, Consumer<Map<String, Object>> validator, double now) {
        this.ownSettings = ownSettings;
        this.validator = validator;
        activeSince = now;
        activate(Map.of());
    }

    /**
     * Applies an answer of the service.
     *
     * @throws Json.MalformedException if the answer is not well-formed; nothing is changed then
     */
    public UpdateResult received(Map<String, Object> answer, double now) {
        Version answerVersion =
                new Version(
                        answer.get("epoch") == null ? 0 : Json.integer(answer, "epoch"),
                        Json.integer(answer, "seq"));
        if (answerVersion.seq < 0 || answerVersion.epoch < 0) {
            throw new Json.MalformedException("seq or epoch is below 0");
        }
        boolean whole = Json.flag(answer, "whole");
        if (whole && !answer.containsKey("settings")) {
            throw new Json.MalformedException("field settings is missing");
        }
        Map<Long, Change> changes = whole ? Map.of() : parseChanges(answer);
        // A refused version does not raise the minimum: a version that no relay ever had must not
        // shut out the real ones.
        if (answerVersion.compareTo(minVersion) < 0) {
            return new UpdateResult(Kind.STALE, false);
        }
        if (whole) {
            needsFullDocument = false;
            if (answerVersion.equals(received.version) || answerVersion.equals(minVersion)) {
                received = answerVersion.equals(minVersion) ? lastGood : received;
                return new UpdateResult(Kind.SAME, false);
            }
            return activateLatestValid(
                    List.of(
                            new VersionedDocument(
                                    answerVersion, MergePatch.apply(null, answer.get("settings")))),
                    now);
        }
        needsFullDocument |=
                answerVersion.epoch != received.version.epoch
                        || answerVersion.seq < received.version.seq;
        List<VersionedDocument> steps = new ArrayList<>();
        long lastSeq = received.version.seq;
        Object document = received.document;
        for (Change change = changes.get(lastSeq);
                change != null && !needsFullDocument;
                change = changes.get(lastSeq)) {
            lastSeq = change.to;
            document = MergePatch.apply(document, change.patch);
            steps.add(new VersionedDocument(new Version(answerVersion.epoch, lastSeq), document));
        }
        needsFullDocument |=
                lastSeq
                        < changes.values().stream()
                                .mapToLong(Change::to)
                                .reduce(answerVersion.seq, Math::max);
        return steps.isEmpty()
                ? new UpdateResult(needsFullDocument ? Kind.GAP : Kind.SAME, false)
                : activateLatestValid(steps, now);
    }

    /** A merge patch from one version to another. */
    private record Change(long from, long to, Object patch) {}

    /**
     * Returns the changes by the version from which they start. Of two that start at the same
     * version the shorter step is used, so that all relays pass through the same versions and end
     * with the same last valid one.
     */
    private static Map<Long, Change> parseChanges(Map<String, Object> answer) {
        Map<Long, Change> changes = new HashMap<>();
        for (Object item : Json.list(answer, "changes")) {
            Map<String, Object> change = Json.object(item, "a change");
            long to = Json.integer(change, "seq");
            long from = change.get("from") == null ? to - 1 : Json.integer(change, "from");
            if (from < 0 || from >= to || !change.containsKey("patch")) {
                throw new Json.MalformedException(
                        "a change has no patch, or not one from an earlier version to a later");
            }
            changes.merge(
                    from,
                    new Change(from, to, change.get("patch")),
                    (first, second) -> first.to <= second.to ? first : second);
        }
        return changes;
    }

    /**
     * Activates the last valid one of the versions, which are in ascending order, and refuses later
     * ones.
     */
    private UpdateResult activateLatestValid(List<VersionedDocument> steps, double now) {
        received = steps.get(steps.size() - 1);
        Kind kind = needsFullDocument ? Kind.GAP : Kind.IN_FORCE;
        for (int i = steps.size() - 1; i >= 0; i--) {
            String error = tryActivate(steps.get(i));
            if (error == null) {
                activeSince = now;
                return new UpdateResult(kind, true);
            }
            refusalCount++;
            if (i == steps.size() - 1) {
                lastRefusal = new Refusal(received.version, error, now);
                kind = Kind.REFUSED;
            }
        }
        return new UpdateResult(kind, false);
    }

    /**
     * Activates a version. Returns null, or the path and description of its error; nothing is
     * changed then.
     */
    private String tryActivate(VersionedDocument candidate) {
        String error = SettingsSchema.findError(candidate.document, lastGood.document, ownSettings);
        if (error != null) {
            return error;
        }
        try {
            activate(Json.object(candidate.document, "settings"));
        } catch (Json.MalformedException e) {
            return e.getMessage();
        }
        lastGood = candidate;
        minVersion = candidate.version;
        return null;
    }

    private void activate(Map<String, Object> document) {
        Set<String> newProfileOrder = new LinkedHashSet<>(profileOrder),
                newCustomerOrder = new LinkedHashSet<>(customerOrder);
        Map<String, Object> merged = effectiveDocument(document, newProfileOrder, newCustomerOrder);
        Settings decoded = SettingsDecoder.decode(merged);
        validator.accept(merged);
        settings = decoded;
        effectiveDocument = merged;
        profileOrder = newProfileOrder;
        customerOrder = newCustomerOrder;
        stableLists.put(
                "profiles",
                new StableList(
                        document.getOrDefault("profiles", ownSettings.get("profiles")),
                        Json.list(merged, "profiles")));
        stableLists.put(
                "tenants",
                new StableList(
                        document.getOrDefault("tenants", ownSettings.get("tenants")),
                        Json.list(merged, "tenants")));
    }

    /**
     * Merges the document over the relay's own settings, with each profile and customer at its
     * index.
     */
    private Map<String, Object> effectiveDocument(
            Map<String, Object> document,
            Set<String> newProfileOrder,
            Set<String> newCustomerOrder) {
        Map<String, Object> otherSettings = new LinkedHashMap<>(document);
        Object givenProfiles =
                otherSettings.containsKey("profiles")
                        ? otherSettings.remove("profiles")
                        : ownSettings.get("profiles");
        Object givenCustomers =
                otherSettings.containsKey("tenants")
                        ? otherSettings.remove("tenants")
                        : ownSettings.get("tenants");
        Map<String, Object> merged =
                Json.object(MergePatch.apply(ownSettings, otherSettings), "settings");
        merged.put(
                "profiles",
                stableEntries(
                        "profiles", givenProfiles, newProfileOrder, SettingsSchema.MAX_PROFILES));
        merged.put(
                "tenants",
                stableEntries(
                        "tenants", givenCustomers, newCustomerOrder, SettingsSchema.MAX_CUSTOMERS));
        return merged;
    }

    /**
     * Returns the entries in the order of their index. A removed entry keeps its index for the
     * tunnels that still use it and is marked as retired, so that no new tunnel can name it.
     */
    private List<Object> stableEntries(
            String listName, Object given, Set<String> order, int maxNames) {
        StableList previous = stableLists.get(listName);
        if (previous != null
                && previous.source == given
                && previous.entries.size() == order.size()) {
            return previous.entries;
        }
        Map<String, Map<String, Object>> givenByName = SettingsSchema.entriesByName(given);
        if (listName.equals("profiles") && givenByName.isEmpty()) {
            throw new Json.MalformedException("profiles: none is left");
        }
        order.addAll(givenByName.keySet());
        if (order.size() > maxNames) {
            throw new Json.MalformedException(
                    listName
                            + ": more than "
                            + maxNames
                            + " names since the start, those taken away counted");
        }
        Map<String, Map<String, Object>> previousByName =
                SettingsSchema.entriesByName(previous == null ? null : previous.entries);
        List<Object> entries = new ArrayList<>();
        for (String name : order) {
            Map<String, Object> entry =
                    new LinkedHashMap<>(
                            givenByName.getOrDefault(
                                    name, previousByName.getOrDefault(name, Map.of())));
            entry.put("name", name);
            entry.remove(SettingsDecoder.RETIRED);
            if (!givenByName.containsKey(name)) {
                entry.put(SettingsDecoder.RETIRED, true);
                // Its remaining tunnels do not exceed any share.
                entry.remove("share");
            }
            entries.add(entry);
        }
        return entries;
    }

    /**
     * Called when another service is asked from now on. Its history is unrelated to the old one, so
     * its whole document counts, whatever the version.
     */
    public void serviceChanged() {
        received = new VersionedDocument(Version.NONE, null);
        minVersion = Version.NONE;
        needsFullDocument = true;
    }

    /**
     * Returns the state to persist across a restart; null if no version from a service is active.
     */
    public Map<String, Object> snapshot() {
        if (lastGood.version.equals(Version.NONE)) {
            return null;
        }
        Map<String, Object> snapshot = new LinkedHashMap<>();
        snapshot.put("epoch", lastGood.version.epoch);
        snapshot.put("seq", lastGood.version.seq);
        snapshot.put("since", activeSince);
        snapshot.put("profiles", List.copyOf(profileOrder));
        snapshot.put("customers", List.copyOf(customerOrder));
        snapshot.put("settings", lastGood.document);
        return snapshot;
    }

    /**
     * Continues from a persisted snapshot. Called before anything is received.
     *
     * @throws Json.MalformedException if the snapshot cannot be activated; the active settings stay
     *     then
     */
    public void restore(Map<String, Object> snapshot) {
        Version version =
                new Version(Json.integer(snapshot, "epoch"), Json.integer(snapshot, "seq"));
        double restoredSince = Json.number(snapshot, "since", activeSince);
        Set<String>
                restoredProfileOrder =
                        restoredOrder(snapshot, "profiles", SettingsSchema.MAX_PROFILES),
                restoredCustomerOrder =
                        restoredOrder(snapshot, "customers", SettingsSchema.MAX_CUSTOMERS);
        Set<String> initialProfileOrder = profileOrder, initialCustomerOrder = customerOrder;
        VersionedDocument restored = new VersionedDocument(version, snapshot.get("settings"));
        profileOrder = restoredProfileOrder;
        customerOrder = restoredCustomerOrder;
        stableLists.clear();
        String error =
                version.epoch < 0 || version.seq < 0 ? "a version below 0" : tryActivate(restored);
        if (error != null) {
            profileOrder = initialProfileOrder;
            customerOrder = initialCustomerOrder;
            throw new Json.MalformedException(error);
        }
        received = restored;
        needsFullDocument = false;
        activeSince = restoredSince;
    }

    /**
     * Returns the index order of the previous process, so that values it learned by index belong to
     * the same names. An order that already uses more than half of the allowed names is dropped,
     * and indexes start anew.
     */
    private static Set<String> restoredOrder(
            Map<String, Object> snapshot, String listName, int maxNames) {
        Set<String> order = new LinkedHashSet<>();
        Json.list(snapshot, listName).forEach(name -> order.add(String.valueOf(name)));
        return order.size() > maxNames / 2 ? new LinkedHashSet<>() : order;
    }

    /** Returns true if only a whole document helps: there is none yet, or changes are missing. */
    public boolean needsFullDocument() {
        return needsFullDocument;
    }

    /** Returns the version received last, valid or not; a service is asked for newer ones. */
    public Version received() {
        return received.version;
    }

    /** Returns the active version; {@link Version#NONE} if none came from a service. */
    public Version version() {
        return lastGood.version;
    }

    /**
     * Returns when the active version was activated; before the first one, when this process
     * started.
     */
    public double activeSince() {
        return activeSince;
    }

    /** Returns the last refused version, or null if none was refused. */
    public Refusal lastRefusal() {
        return lastRefusal;
    }

    public long refusalCount() {
        return refusalCount;
    }

    /**
     * Returns the active settings for the load balancer. The object is never changed after it was
     * returned.
     */
    public Settings settings() {
        return settings;
    }

    /**
     * Returns the active settings as names and values, in the form of a relay's file; removed
     * profiles and customers are marked as retired.
     */
    public Map<String, Object> effectiveDocument() {
        return effectiveDocument;
    }
}
