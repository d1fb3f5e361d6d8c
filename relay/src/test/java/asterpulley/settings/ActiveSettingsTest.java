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

    private static ActiveSettings relay() {
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
    private static Map<String, Object> activeByName(ActiveSettings relay) {
        Map<String, Object> all = new TreeMap<>(relay.effectiveDocument());
        for (String list : List.of("profiles", "tenants")) {
            Map<String, Object> byName = new TreeMap<>();
            Json.list(all, list).stream()
                    .map(o -> Json.object(o, "one"))
                    .filter(one -> !Json.flag(one, SettingsDecoder.RETIRED))
                    .forEach(one -> byName.put(String.valueOf(one.get("name")), one));
            all.put(list, byName);
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
            @ForAll @IntRange(max = 12) int answers) {
        Random random = new Random(seed);
        Map<Version, Map<String, Object>> good = new HashMap<>();
        good.put(Version.NONE, activeByName(relay()));
        List<List<Object>> patches =
                List.of(randomPatches(random, length), randomPatches(random, length));
        List<List<Object>> documents =
                patches.stream().map(ActiveSettingsTest::documentVersions).toList();
        for (int e = 0; e < 2; e++) {
            ActiveSettings ordered = relay();
            for (int v = 0; v <= length; v++) {
                var verdict =
                        ordered.received(
                                v == 0
                                        ? wholeAnswer(e + 1, 0, documents.get(e).get(0))
                                        : changesAnswer(e + 1, v, v, patches.get(e).get(v - 1)),
                                v);
                if (verdict.kind() == Kind.IN_FORCE) {
                    good.put(new Version(e + 1, v), activeByName(ordered));
                }
            }
        }
        ActiveSettings relay = relay();
        List<String> places = new ArrayList<>();
        for (int i = 0; i <= answers; i++) {
            boolean last = i == answers;
            int e = last ? 1 : random.nextInt(2);
            int from =
                    last && !relay.needsFullDocument() && relay.received().epoch() == 2
                            ? (int) relay.received().seq()
                            : random.nextInt(length + 1);
            int to = last ? length : from + random.nextInt(length + 1 - from);
            boolean whole =
                    last
                            ? relay.needsFullDocument() || relay.received().epoch() != 2
                            : random.nextInt(3) == 0;
            Map<String, Object> answer;
            if (whole) {
                answer = wholeAnswer(e + 1, to, documents.get(e).get(to));
            } else {
                List<Object> some = new ArrayList<>();
                for (int v = from + 1; v <= to; v++) {
                    some.add(map("seq", v, "patch", patches.get(e).get(v - 1)));
                    if (random.nextInt(4) == 0) {
                        some.add(some.get(random.nextInt(some.size())));
                    }
                }
                java.util.Collections.shuffle(some, random);
                answer = map("epoch", e + 1, "seq", to, "whole", false, "changes", some);
            }
            Version before = relay.version();
            var verdict = relay.received(answer, i);
            assertEquals(!relay.version().equals(before), verdict.changed());
            assertTrue(
                    relay.version().compareTo(before) >= 0,
                    "never back to an older version: " + before + " to " + relay.version());
            assertEquals(
                    good.get(relay.version()),
                    activeByName(relay),
                    "exactly one of the versions: " + relay.version());
            List<String> now = relay.settings().profiles.stream().map(p -> p.name).toList();
            assertEquals(places, now.subList(0, places.size()), "a name keeps its index for good");
            places = now;
        }
        assertEquals(new Version(2, length), relay.received());
        if (good.containsKey(new Version(2, length))) {
            assertEquals(new Version(2, length), relay.version());
        } else {
            assertEquals(new Version(2, length), relay.lastRefusal().version());
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
        int cut = random.nextInt(length + 1);
        List<ActiveSettings> relays = List.of(relay(), relay(), relay());
        relays.forEach(
                relay -> relay.received(wholeAnswer(1, 0, documentVersions(patches).get(0)), 0));
        Object[] all = new Object[2 * length];
        for (int v = 1; v <= length; v++) {
            relays.get(0).received(changesAnswer(1, v, v, patches.get(v - 1)), v);
            all[2 * v - 2] = v;
            all[2 * v - 1] = patches.get(v - 1);
        }
        relays.get(1).received(changesAnswer(1, length, all), 1);
        relays.get(2).received(changesAnswer(1, cut, Arrays.copyOf(all, 2 * cut)), 1);
        relays.get(2).received(changesAnswer(1, length, all), 2);
        for (ActiveSettings relay : relays) {
            assertEquals(relays.get(0).version(), relay.version());
            assertEquals(activeByName(relays.get(0)), activeByName(relay));
        }
    }

    // ---- Single cases

    @Test
    void reportsPathOfRefusedSettingsAndKeepsTheLastGoodOnes() {
        ActiveSettings relay = relay();
        assertEquals(
                Kind.IN_FORCE,
                relay.received(wholeAnswer(1, 5, map("limits", map("mostSetups", 2))), 5).kind());
        Map<String, Object> was = activeByName(relay);
        long seq = 5;
        Object[][] wrong = {
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
        for (Object[] one : wrong) {
            var verdict = relay.received(wholeAnswer(1, ++seq, one[0]), seq);
            assertEquals(
                    Kind.REFUSED,
                    verdict.kind(),
                    relay.lastRefusal() + " for " + Arrays.toString(one));
            assertTrue(
                    relay.lastRefusal().reason().startsWith((String) one[1]),
                    relay.lastRefusal().reason());
            assertEquals(new Version(1, seq), relay.lastRefusal().version());
            assertEquals(new Version(1, 5), relay.version());
            assertEquals(was, activeByName(relay));
            assertEquals(
                    Kind.SAME,
                    relay.received(wholeAnswer(1, seq, one[0]), seq).kind(),
                    "refused once");
        }
        assertEquals(wrong.length, relay.refusalCount());
        assertEquals(5, relay.activeSince());
        // A valid version after them, as a change from the refused one.
        relay.received(wholeAnswer(1, ++seq, map("limits", map("mostSetups", 0))), 30);
        assertEquals(
                Kind.IN_FORCE,
                relay.received(
                                changesAnswer(
                                        1, seq + 1, seq + 1, map("limits", map("mostSetups", 4))),
                                31)
                        .kind());
        assertEquals(4, relay.settings().maxSetupsPerTunnel);
        assertEquals(31, relay.activeSince());
    }

    @Test
    void otherReadersMayRefuseSettings() {
        ActiveSettings relay =
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
                relay.received(wholeAnswer(1, 1, map("tenants", map("a", map(), "b", map()))), 1)
                        .kind());
        assertEquals("pools: one customer too many", relay.lastRefusal().reason());
        assertEquals(List.of(0.5), relay.settings().customerShares);
    }

    @Test
    void distinguishesStaleAnswersFromOtherEpochs() {
        ActiveSettings relay = relay();
        assertEquals(
                Kind.GAP,
                relay.received(changesAnswer(3, 9, 9, map()), 1).kind(),
                "no document to change yet");
        assertTrue(relay.needsFullDocument());
        relay.received(wholeAnswer(3, 9, map("siblings", 4)), 1);
        assertEquals(Kind.STALE, relay.received(wholeAnswer(3, 8, map("siblings", 5)), 2).kind());
        assertEquals(
                Kind.STALE,
                relay.received(wholeAnswer(2, 99, map("siblings", 5)), 2).kind(),
                "an older epoch");
        assertEquals(
                Kind.GAP,
                relay.received(changesAnswer(3, 11, 11, map("siblings", 6)), 2).kind(),
                "10 is missing");
        assertEquals(
                Kind.IN_FORCE, relay.received(wholeAnswer(3, 11, map("siblings", 6)), 2).kind());
        assertEquals(
                Kind.GAP,
                relay.received(changesAnswer(4, 12, 12, map("siblings", 7)), 2).kind(),
                "of another epoch");
        assertEquals(6, relay.settings().relayCount);
        assertEquals(
                Kind.IN_FORCE,
                relay.received(wholeAnswer(4, 2, map("siblings", 8)), 2).kind(),
                "lower, but of a later epoch");
        assertEquals(8, relay.settings().relayCount);
        relay.serviceChanged();
        assertEquals(
                Kind.IN_FORCE,
                relay.received(wholeAnswer(1, 1, map("siblings", 9)), 2).kind(),
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
            assertThrows(Json.MalformedException.class, () -> relay.received(malformed, 3));
            assertEquals(new Version(1, 1), relay.received());
            assertEquals(9, relay.settings().relayCount);
        }
    }

    /**
     * A faulty instance of the service that sends a version which was never published must not
     * block the versions of the others for good.
     */
    @Test
    void refusedFutureVersionDoesNotBlockLaterOnes() {
        ActiveSettings relay = relay();
        relay.received(wholeAnswer(1, 5, map("siblings", 5)), 1);
        assertEquals(
                Kind.REFUSED,
                relay.received(wholeAnswer(9, 999, map("siblings", "many")), 2).kind());
        assertEquals(
                Kind.GAP,
                relay.received(changesAnswer(1, 5), 3).kind(),
                "the others know no such version");
        assertEquals(Kind.SAME, relay.received(wholeAnswer(1, 5, map("siblings", 5)), 3).kind());
        assertEquals(
                Kind.IN_FORCE,
                relay.received(changesAnswer(1, 6, 6, map("siblings", 6)), 4).kind());
        relay.received(changesAnswer(1, 999, 7, map("siblings", "many")), 5);
        assertEquals(
                Kind.IN_FORCE, relay.received(wholeAnswer(1, 8, map("siblings", 8)), 6).kind());
        assertEquals(8, relay.settings().relayCount);
    }

    @Test
    void removedEntriesKeepTheirIndexAndReturnToIt() {
        ActiveSettings relay = relay();
        relay.received(
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
                relay.settings().profiles.stream().map(p -> p.name).toList());
        assertEquals(
                Map.of("pay", 1, "bulk", 2),
                SettingsDecoder.activeIndexes(relay.effectiveDocument(), "profiles"));
        assertEquals(
                Map.of("x", 1),
                SettingsDecoder.activeIndexes(relay.effectiveDocument(), "tenants"));
        assertEquals(
                List.of(1.0, 0.2),
                relay.settings().customerShares,
                "a removed customer has no share to exceed");
        assertEquals(0.3, relay.settings().profiles.get(0).setupGoal, "with its last values");
        relay.received(
                changesAnswer(1, 2, 2, map("profiles", map("pay", null, "chat", map("credit", 5)))),
                1);
        assertEquals(
                Map.of("chat", 0, "bulk", 2),
                SettingsDecoder.activeIndexes(relay.effectiveDocument(), "profiles"));
        assertEquals(3, relay.settings().profiles.get(1).credit);
        assertEquals(0.5, relay.settings().profiles.get(0).setupGoal, "with its new values");
        for (int i = 3; i < 300; i++) {
            relay.received(
                    changesAnswer(
                            1, i, i, map("profiles", map("p" + (i - 1), null, "p" + i, map()))),
                    i);
        }
        assertTrue(
                relay.lastRefusal().reason().startsWith("profiles: more than 256 names"),
                relay.lastRefusal().reason());
        assertEquals(256, relay.settings().profiles.size());
    }

    @Test
    void restoresPersistedStateAndRejectsDamagedState() {
        ActiveSettings relay = relay();
        assertNull(relay.snapshot());
        relay.received(
                wholeAnswer(1, 6, map("profiles", map("once", map(), "pay", map("credit", 3)))), 6);
        relay.received(changesAnswer(1, 7, 7, map("profiles", map("once", null))), 7);
        relay.received(
                changesAnswer(1, 8, 8, map("profiles", map("pay", map("credit", "much")))), 8);
        ActiveSettings next = relay();
        next.restore(relay.snapshot());
        assertEquals(new Version(1, 7), next.version(), "the last valid version");
        assertEquals(activeByName(relay), activeByName(next));
        assertEquals(
                List.of("chat", "once", "pay"),
                next.settings().profiles.stream().map(p -> p.name).toList(),
                "with the same indexes");
        assertEquals(7, next.activeSince());
        assertFalse(next.needsFullDocument(), "changes are enough");
        assertEquals(
                Kind.REFUSED,
                next.received(
                                changesAnswer(
                                        1,
                                        8,
                                        8,
                                        map("profiles", map("pay", map("credit", "much")))),
                                9)
                        .kind());
        for (String part : List.of("epoch", "seq", "profiles", "customers", "settings")) {
            for (Object wrong : Arrays.asList(null, "x", -7L, List.of(3), map("profiles", 1))) {
                Map<String, Object> kept = new LinkedHashMap<>(relay.snapshot());
                kept.put(part, wrong);
                ActiveSettings other = relay();
                try {
                    other.restore(kept);
                } catch (Json.MalformedException e) {
                    assertEquals(Version.NONE, other.version());
                    assertEquals(
                            activeByName(relay()),
                            activeByName(other),
                            "as without a stored state: " + part + " " + wrong);
                    assertEquals(
                            List.of("chat"),
                            other.settings().profiles.stream().map(p -> p.name).toList());
                }
            }
        }
    }
}
