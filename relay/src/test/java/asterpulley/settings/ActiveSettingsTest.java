package asterpulley.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.decode.Json;
import asterpulley.decode.MergePatch;
import asterpulley.decode.SettingsDecoder;
import asterpulley.settings.ActiveSettings.Kind;
import asterpulley.settings.ActiveSettings.Version;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Which version of the settings is active, whatever the service sends and in whatever order. Guards
 * against mixed versions, steps back to an older one, and entries that change their index.
 */
class ActiveSettingsTest {
    static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    private static Map<String, Object> ownSettings() {
        return map(
                "zones",
                List.of("a", "b"),
                "models",
                List.of("m"),
                "myZone",
                1,
                "siblings",
                2,
                "registryMode",
                "subscribe",
                "profiles",
                List.of(map("name", "chat", "effect", "read_like", "setupGoalMs", 300)),
                "tenants",
                List.of(map("name", "acme", "share", 0.5)),
                "tickMs",
                4.0,
                "limits",
                map("probes", true, "mostSetups", 3, "dialTimeoutMs", 1000.0));
    }

    private static ActiveSettings newActiveSettings() {
        return new ActiveSettings(ownSettings(), all -> {}, 0);
    }

    private static Map<String, Object> wholeAnswer(long epoch, long seq, Object settings) {
        return map("epoch", epoch, "seq", seq, "whole", true, "settings", settings);
    }

    private static Map<String, Object> changesAnswer(
            long epoch, long seq, Object... seqsAndPatches) {
        List<Object> all = new ArrayList<>();
        for (int i = 0; i < seqsAndPatches.length; i += 2) {
            all.add(map("seq", seqsAndPatches[i], "patch", seqsAndPatches[i + 1]));
        }
        return map("epoch", epoch, "seq", seq, "whole", false, "changes", all);
    }

    /**
     * Returns the active settings with profiles and tenants by name and without removed ones: their
     * indexes depend on the sequence of changes.
     */
    private static Map<String, Object> activeByName(ActiveSettings active) {
        Map<String, Object> all = new TreeMap<>(active.effectiveDocument());
        for (String listName : List.of("profiles", "tenants")) {
            Map<String, Object> byName = new TreeMap<>();
            Json.list(all, listName).stream()
                    .map(o -> Json.object(o, "one"))
                    .filter(one -> !Json.flag(one, SettingsDecoder.RETIRED))
                    .forEach(one -> byName.put(String.valueOf(one.get("name")), one));
            all.put(listName, byName);
        }
        return all;
    }

    // ---- Random sequences

    /** Returns random patches, some of which lead to invalid settings. */
    private static List<Object> randomPatches(Random random, int length) {
        List<Object> patches = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            String name = List.of("chat", "bulk", "pay").get(random.nextInt(3));
            patches.add(
                    switch (random.nextInt(9)) {
                        case 0 -> map("profiles", map(name, null));
                        case 1 ->
                                map(
                                        "profiles",
                                        map(
                                                name,
                                                map("clientTimeoutMs", 100 + random.nextInt(400))));
                        case 2 -> map("limits", map("mostSetups", random.nextInt(5)));
                        case 3 ->
                                map(
                                        "tenants",
                                        map(
                                                "t" + random.nextInt(4),
                                                random.nextBoolean()
                                                        ? null
                                                        : map("share", random.nextInt(3) / 2.0)));
                        case 4 -> map("rules", map("coldMs", 1000 + random.nextInt(5000)));
                        case 5 ->
                                map(
                                        random.nextInt(3) == 0 ? "zones" : "siblings",
                                        random.nextInt(3) == 0
                                                ? List.of("z")
                                                : 1 + random.nextInt(9));
                        default ->
                                map(
                                        "profiles",
                                        map(
                                                name,
                                                map(
                                                        "setupGoalMs",
                                                        90 + random.nextInt(300),
                                                        "effect",
                                                        "read_like")));
                    });
        }
        return patches;
    }

    private static List<Object> documentVersions(List<Object> patches) {
        List<Object> documents = new ArrayList<>();
        documents.add(map("profiles", map("chat", map("setupGoalMs", 200))));
        patches.forEach(
                patch ->
                        documents.add(
                                MergePatch.apply(documents.get(documents.size() - 1), patch)));
        return documents;
    }

    @Property(tries = 600, seed = "6")
    void anyAnswerSequenceConvergesAndNeverMixesVersions(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 12) int length,
            @ForAll @IntRange(max = 12) int answerCount) {
        Random random = new Random(seed);
        Map<Version, Map<String, Object>> validVersions = new HashMap<>();
        validVersions.put(Version.NONE, activeByName(newActiveSettings()));
        List<List<Object>> patches =
                List.of(randomPatches(random, length), randomPatches(random, length));
        List<List<Object>> documents =
                patches.stream().map(ActiveSettingsTest::documentVersions).toList();
        for (int epochIndex = 0; epochIndex < 2; epochIndex++) {
            ActiveSettings ordered = newActiveSettings();
            for (int v = 0; v <= length; v++) {
                var verdict =
                        ordered.received(
                                v == 0
                                        ? wholeAnswer(
                                                epochIndex + 1, 0, documents.get(epochIndex).get(0))
                                        : changesAnswer(
                                                epochIndex + 1,
                                                v,
                                                v,
                                                patches.get(epochIndex).get(v - 1)),
                                v);
                if (verdict.kind() == Kind.IN_FORCE) {
                    validVersions.put(new Version(epochIndex + 1, v), activeByName(ordered));
                }
            }
        }
        ActiveSettings active = newActiveSettings();
        List<String> namesByIndex = new ArrayList<>();
        for (int i = 0; i <= answerCount; i++) {
            boolean last = i == answerCount;
            int epochIndex = last ? 1 : random.nextInt(2);
            int from =
                    last && !active.needsFullDocument() && active.received().epoch() == 2
                            ? (int) active.received().seq()
                            : random.nextInt(length + 1);
            int to = last ? length : from + random.nextInt(length + 1 - from);
            boolean whole =
                    last
                            ? active.needsFullDocument() || active.received().epoch() != 2
                            : random.nextInt(3) == 0;
            Map<String, Object> answer;
            if (whole) {
                answer = wholeAnswer(epochIndex + 1, to, documents.get(epochIndex).get(to));
            } else {
                List<Object> changes = new ArrayList<>();
                for (int v = from + 1; v <= to; v++) {
                    changes.add(map("seq", v, "patch", patches.get(epochIndex).get(v - 1)));
                    if (random.nextInt(4) == 0) {
                        changes.add(changes.get(random.nextInt(changes.size())));
                    }
                }
                java.util.Collections.shuffle(changes, random);
                answer =
                        map("epoch", epochIndex + 1, "seq", to, "whole", false, "changes", changes);
            }
            Version before = active.version();
            var verdict = active.received(answer, i);
            assertEquals(!active.version().equals(before), verdict.changed());
            assertTrue(
                    active.version().compareTo(before) >= 0,
                    "never back to an older version: " + before + " to " + active.version());
            assertEquals(
                    validVersions.get(active.version()),
                    activeByName(active),
                    "exactly one of the versions: " + active.version());
            List<String> currentNames =
                    active.settings().profiles.stream().map(p -> p.name).toList();
            assertEquals(
                    namesByIndex,
                    currentNames.subList(0, namesByIndex.size()),
                    "a name keeps its index for good");
            namesByIndex = currentNames;
        }
        assertEquals(new Version(2, length), active.received());
        if (validVersions.containsKey(new Version(2, length))) {
            assertEquals(new Version(2, length), active.version());
        } else {
            assertEquals(new Version(2, length), active.lastRefusal().version());
        }
    }

    /**
     * The same changes arrive one by one, all at once, and in two parts: each time the last valid
     * version is active.
     */
    @Property(tries = 300, seed = "6")
    void groupingOfChangesIntoAnswersMakesNoDifference(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int length) {
        Random random = new Random(seed);
        List<Object> patches = randomPatches(random, length);
        int split = random.nextInt(length + 1);
        List<ActiveSettings> instances =
                List.of(newActiveSettings(), newActiveSettings(), newActiveSettings());
        instances.forEach(
                active -> active.received(wholeAnswer(1, 0, documentVersions(patches).get(0)), 0));
        Object[] all = new Object[2 * length];
        for (int v = 1; v <= length; v++) {
            instances.get(0).received(changesAnswer(1, v, v, patches.get(v - 1)), v);
            all[2 * v - 2] = v;
            all[2 * v - 1] = patches.get(v - 1);
        }
        instances.get(1).received(changesAnswer(1, length, all), 1);
        instances.get(2).received(changesAnswer(1, split, Arrays.copyOf(all, 2 * split)), 1);
        instances.get(2).received(changesAnswer(1, length, all), 2);
        for (ActiveSettings active : instances) {
            assertEquals(instances.get(0).version(), active.version());
            assertEquals(activeByName(instances.get(0)), activeByName(active));
        }
    }

    // ---- Single cases

    @Test
    void reportsPathOfRefusedSettingsAndKeepsTheLastGoodOnes() {
        ActiveSettings active = newActiveSettings();
        assertEquals(
                Kind.IN_FORCE,
                active.received(wholeAnswer(1, 5, map("limits", map("mostSetups", 2))), 5).kind());
        Map<String, Object> previous = activeByName(active);
        long seq = 5;
        Object[][] invalid = {
            {map("limits", map("mostSetups", "two")), "limits.mostSetups: not a number"},
            {
                map("limits", map("mostSetups", 1.5)),
                "limits.mostSetups: a whole number from 1 to 100, it is 1.5"
            },
            {map("limits", map("mostSetup", 2)), "limits.mostSetup: no such key"},
            {
                map("limits", map("probes", false)),
                "limits.probes: counts from a start, by the relay's own file, which says true"
            },
            {
                map("zones", List.of("a")),
                "zones: counts from a start, by the relay's own file, which says [\"a\",\"b\"]"
            },
            {map("lanes", 1), "lanes: no such key"},
            {map("rules", 7), "rules: not an object"},
            {map("fees", map("probe", 2)), "fees.probe: from 0 to 1, it is 2"},
            {map("profiles", List.of()), "profiles: none is left"},
            {
                map("profiles", map("chat", map("effect", "twice"))),
                "profiles.chat.effect: none of read_like, idempotency_key, non_idempotent"
            },
            {map("profiles", map("chat", 3)), "profiles.chat: not an object"},
            {
                map("profiles", map("chat", map("setupGoalMs", 900, "clientTimeoutMs", 800))),
                "profiles.chat.clientTimeoutMs: below setupGoalMs"
            },
            {
                map("profiles", List.of(map("name", "x"), map("name", "x"))),
                "profiles[1].name: 'x' is there twice"
            },
            {
                map("tenants", map("acme", map("share", -0.5))),
                "tenants.acme.share: from 0 to 1, it is -0.5"
            },
            {map("tenants", "all"), "tenants: neither an object nor a list"},
            {"words", "settings: not an object"}
        };
        for (Object[] one : invalid) {
            var verdict = active.received(wholeAnswer(1, ++seq, one[0]), seq);
            assertEquals(
                    Kind.REFUSED,
                    verdict.kind(),
                    active.lastRefusal() + " for " + Arrays.toString(one));
            assertTrue(
                    active.lastRefusal().reason().startsWith((String) one[1]),
                    active.lastRefusal().reason());
            assertEquals(new Version(1, seq), active.lastRefusal().version());
            assertEquals(new Version(1, 5), active.version());
            assertEquals(previous, activeByName(active));
            assertEquals(
                    Kind.SAME,
                    active.received(wholeAnswer(1, seq, one[0]), seq).kind(),
                    "refused once");
        }
        assertEquals(invalid.length, active.refusalCount());
        assertEquals(5, active.activeSince());
        // A valid version after them, as a change from the refused one.
        active.received(wholeAnswer(1, ++seq, map("limits", map("mostSetups", 0))), 30);
        assertEquals(
                Kind.IN_FORCE,
                active.received(
                                changesAnswer(
                                        1, seq + 1, seq + 1, map("limits", map("mostSetups", 4))),
                                31)
                        .kind());
        assertEquals(4, active.settings().maxSetupsPerTunnel);
        assertEquals(31, active.activeSince());
    }

    @Test
    void otherReadersMayRefuseSettings() {
        ActiveSettings active =
                new ActiveSettings(
                        ownSettings(),
                        all -> {
                            if (Json.list(all, "tenants").size() > 1) {
                                throw new Json.MalformedException("pools: one customer too many");
                            }
                        },
                        0);
        assertEquals(
                Kind.REFUSED,
                active.received(wholeAnswer(1, 1, map("tenants", map("a", map(), "b", map()))), 1)
                        .kind());
        assertEquals("pools: one customer too many", active.lastRefusal().reason());
        assertEquals(List.of(0.5), active.settings().customerShares);
    }

    @Test
    void distinguishesStaleAnswersFromOtherEpochs() {
        ActiveSettings active = newActiveSettings();
        assertEquals(
                Kind.GAP,
                active.received(changesAnswer(3, 9, 9, map()), 1).kind(),
                "no document to change yet");
        assertTrue(active.needsFullDocument());
        active.received(wholeAnswer(3, 9, map("siblings", 4)), 1);
        assertEquals(Kind.STALE, active.received(wholeAnswer(3, 8, map("siblings", 5)), 2).kind());
        assertEquals(
                Kind.STALE,
                active.received(wholeAnswer(2, 99, map("siblings", 5)), 2).kind(),
                "an older epoch");
        assertEquals(
                Kind.GAP,
                active.received(changesAnswer(3, 11, 11, map("siblings", 6)), 2).kind(),
                "version 10 is missing");
        assertEquals(
                Kind.IN_FORCE, active.received(wholeAnswer(3, 11, map("siblings", 6)), 2).kind());
        assertEquals(
                Kind.GAP,
                active.received(changesAnswer(4, 12, 12, map("siblings", 7)), 2).kind(),
                "of another epoch");
        assertEquals(6, active.settings().relayCount);
        assertEquals(
                Kind.IN_FORCE,
                active.received(wholeAnswer(4, 2, map("siblings", 8)), 2).kind(),
                "lower, but of a later epoch");
        assertEquals(8, active.settings().relayCount);
        active.serviceChanged();
        assertEquals(
                Kind.IN_FORCE,
                active.received(wholeAnswer(1, 1, map("siblings", 9)), 2).kind(),
                "the whole document of another service counts");
        for (Map<String, Object> malformed :
                List.of(
                        map("seq", 5),
                        map("seq", 5, "whole", true),
                        map("whole", true, "settings", map()),
                        map(
                                "epoch",
                                1,
                                "seq",
                                5,
                                "whole",
                                false,
                                "changes",
                                List.of(map("seq", 5))),
                        map(
                                "epoch",
                                1,
                                "seq",
                                5,
                                "changes",
                                List.of(map("seq", 2, "patch", map("siblings", 1)), 7)),
                        map("epoch", "x", "seq", 5, "whole", true, "settings", map()),
                        wholeAnswer(1, -1, map()))) {
            assertThrows(Json.MalformedException.class, () -> active.received(malformed, 3));
            assertEquals(new Version(1, 1), active.received());
            assertEquals(9, active.settings().relayCount);
        }
    }

    /**
     * A faulty instance of the service that sends a version which was never published must not
     * block the versions of the others for good.
     */
    @Test
    void refusedFutureVersionDoesNotBlockLaterOnes() {
        ActiveSettings active = newActiveSettings();
        active.received(wholeAnswer(1, 5, map("siblings", 5)), 1);
        assertEquals(
                Kind.REFUSED,
                active.received(wholeAnswer(9, 999, map("siblings", "many")), 2).kind());
        assertEquals(
                Kind.GAP,
                active.received(changesAnswer(1, 5), 3).kind(),
                "the other instances know no such version");
        assertEquals(Kind.SAME, active.received(wholeAnswer(1, 5, map("siblings", 5)), 3).kind());
        assertEquals(
                Kind.IN_FORCE,
                active.received(changesAnswer(1, 6, 6, map("siblings", 6)), 4).kind());
        active.received(changesAnswer(1, 999, 7, map("siblings", "many")), 5);
        assertEquals(
                Kind.IN_FORCE, active.received(wholeAnswer(1, 8, map("siblings", 8)), 6).kind());
        assertEquals(8, active.settings().relayCount);
    }

    @Test
    void removedEntriesKeepTheirIndexAndReturnToIt() {
        ActiveSettings active = newActiveSettings();
        active.received(
                wholeAnswer(
                        1,
                        1,
                        map(
                                "profiles",
                                map("pay", map("credit", 3), "bulk", map()),
                                "tenants",
                                map("x", map("share", 0.2)))),
                1);
        assertEquals(
                List.of("chat", "pay", "bulk"),
                active.settings().profiles.stream().map(p -> p.name).toList());
        assertEquals(
                Map.of("pay", 1, "bulk", 2),
                SettingsDecoder.activeIndexes(active.effectiveDocument(), "profiles"));
        assertEquals(
                Map.of("x", 1),
                SettingsDecoder.activeIndexes(active.effectiveDocument(), "tenants"));
        assertEquals(
                List.of(1.0, 0.2),
                active.settings().customerShares,
                "a removed customer has no share to exceed");
        // "chat" is only in the relay's own file. The service's document does not name it, so it
        // counts as removed.
        assertEquals(0.3, active.settings().profiles.get(0).setupGoal, "with its last values");
        active.received(
                changesAnswer(1, 2, 2, map("profiles", map("pay", null, "chat", map("credit", 5)))),
                1);
        assertEquals(
                Map.of("chat", 0, "bulk", 2),
                SettingsDecoder.activeIndexes(active.effectiveDocument(), "profiles"));
        assertEquals(3, active.settings().profiles.get(1).credit);
        assertEquals(0.5, active.settings().profiles.get(0).setupGoal, "with its new values");
        for (int i = 3; i < 300; i++) {
            active.received(
                    changesAnswer(
                            1, i, i, map("profiles", map("p" + (i - 1), null, "p" + i, map()))),
                    i);
        }
        assertTrue(
                active.lastRefusal().reason().startsWith("profiles: more than 256 names"),
                active.lastRefusal().reason());
        assertEquals(256, active.settings().profiles.size());
    }

    @Test
    void restoresPersistedStateAndRejectsDamagedState() {
        ActiveSettings active = newActiveSettings();
        assertNull(active.snapshot());
        active.received(
                wholeAnswer(1, 6, map("profiles", map("once", map(), "pay", map("credit", 3)))), 6);
        active.received(changesAnswer(1, 7, 7, map("profiles", map("once", null))), 7);
        active.received(
                changesAnswer(1, 8, 8, map("profiles", map("pay", map("credit", "much")))), 8);
        ActiveSettings restored = newActiveSettings();
        restored.restore(active.snapshot());
        assertEquals(new Version(1, 7), restored.version(), "the last valid version");
        assertEquals(activeByName(active), activeByName(restored));
        assertEquals(
                List.of("chat", "once", "pay"),
                restored.settings().profiles.stream().map(p -> p.name).toList(),
                "with the same indexes");
        assertEquals(7, restored.activeSince());
        assertFalse(restored.needsFullDocument(), "changes are enough");
        assertEquals(
                Kind.REFUSED,
                restored.received(
                                changesAnswer(
                                        1,
                                        8,
                                        8,
                                        map("profiles", map("pay", map("credit", "much")))),
                                9)
                        .kind());
        for (String field : List.of("epoch", "seq", "profiles", "customers", "settings")) {
            for (Object invalid : Arrays.asList(null, "x", -7L, List.of(3), map("profiles", 1))) {
                Map<String, Object> snapshot = new LinkedHashMap<>(active.snapshot());
                snapshot.put(field, invalid);
                ActiveSettings other = newActiveSettings();
                try {
                    other.restore(snapshot);
                } catch (Json.MalformedException e) {
                    assertEquals(Version.NONE, other.version());
                    assertEquals(
                            activeByName(newActiveSettings()),
                            activeByName(other),
                            "as without a stored state: " + field + " " + invalid);
                    assertEquals(
                            List.of("chat"),
                            other.settings().profiles.stream().map(p -> p.name).toList());
                }
            }
        }
    }
}
