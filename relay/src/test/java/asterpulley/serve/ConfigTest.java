package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.decode.Json;
import asterpulley.line.LineCodec;
import asterpulley.list.ServerList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Reads configurations in which any field may be missing, null or of the wrong type. Guards against
 * errors that don't name the field, and against unknown names that are taken for known ones.
 */
class ConfigTest {
    private static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    private static Map<String, Object> validConfig() {
        return map(
                "name",
                "n1",
                "listen",
                "127.0.0.1:0",
                "discovery",
                "127.0.0.1:1",
                "seed",
                "1f",
                "limits",
                map("sockets", 600L, "memory_mb", 96L),
                "known",
                map(
                        "seq",
                        4L,
                        "whole",
                        true,
                        "hosts",
                        new ArrayList<>(
                                List.of(
                                        map(
                                                "host",
                                                "s1",
                                                "dial",
                                                "127.0.0.1:2",
                                                "site",
                                                "a",
                                                "class",
                                                "m",
                                                "block",
                                                0L,
                                                "health",
                                                "up",
                                                "born_ms",
                                                0L)))),
                "settings",
                map(
                        "zones",
                        List.of("a", "b"),
                        "models",
                        List.of("m"),
                        "siblings",
                        3L,
                        "myZone",
                        1L,
                        "tickMs",
                        4.0,
                        "registryMode",
                        "subscribe",
                        "excessCredit",
                        0.2,
                        "tenants",
                        new ArrayList<>(
                                List.of(
                                        map("name", "acme", "share", 0.5),
                                        map("name", "umbra", "share", 0.5))),
                        "profiles",
                        new ArrayList<>(
                                List.of(
                                        map(
                                                "name",
                                                "chat",
                                                "effect",
                                                "idempotency_key",
                                                "group",
                                                "zone",
                                                "clientTimeoutMs",
                                                3000.0,
                                                "setupGoalMs",
                                                300.0,
                                                "credit",
                                                2.0,
                                                "windowMs",
                                                500.0))),
                        "limits",
                        map(
                                "probes",
                                true,
                                "retryAfter",
                                true,
                                "maxRetryAfterMs",
                                1000.0,
                                "mostSetups",
                                4L,
                                "dialTimeoutMs",
                                250.0),
                        "rules",
                        map(
                                "askEveryMs",
                                10000.0,
                                "drainGraceMs",
                                500.0,
                                "coldFrom",
                                0.1,
                                "coldMs",
                                9000.0,
                                "fallMultiple",
                                4.0,
                                "fallMs",
                                1000.0,
                                "budgetFree",
                                1.0,
                                "furtherRatio",
                                0.1,
                                "lookBackMs",
                                500.0),
                        "fees",
                        map("crossZone", 0.02, "probe", 0.005),
                        "scoreParts",
                        map("logLossPart", 0.1, "topNines", 3.0),
                        "familyInfo",
                        map("mode", "proxy", "groups", true)));
    }

    /**
     * Text by which a message may refer to a field instead of its name: another term, or a field
     * within it that is then missing.
     */
    private static final Map<String, String> ACCEPTED_MESSAGE_PARTS =
            Map.of(
                    "tenants",
                    "a tenant",
                    "profiles",
                    "profile",
                    "known",
                    "hosts",
                    "settings",
                    "profiles",
                    "seed",
                    "hexadecimal",
                    "listen",
                    "address",
                    "discovery",
                    "address");

    private interface Edit {
        void apply(Map<String, Object> fields, String name);
    }

    /**
     * Applies {@code edit} to each field in turn, calls {@code action} with the field's name, and
     * undoes the edit.
     */
    private static void forEachField(
            Object value, String path, Edit edit, Consumer<String> action) {
        if (value instanceof List<?> list) {
            for (Object element : list) {
                forEachField(element, path, edit, action);
            }
        } else if (value instanceof Map<?, ?>) {
            Map<String, Object> map = Json.object(value, path);
            for (String name : List.copyOf(map.keySet())) {
                Object original = map.get(name);
                edit.apply(map, name);
                action.accept(name);
                map.put(name, original);
                forEachField(original, name, edit, action);
            }
        }
    }

    @Test
    void missingNullOrMistypedFieldsGetDefaultsOrAreReportedByName() {
        List<Object> wrongValues =
                Arrays.asList(
                        null, "words", -1L, new ArrayList<>(List.of(7L)), new HashMap<>(), true);
        List<String> unnamedErrors = new ArrayList<>();
        Map<String, Object> document = validConfig();
        List<Edit> edits = new ArrayList<>(List.of((fields, name) -> fields.remove(name)));
        wrongValues.forEach(value -> edits.add((fields, name) -> fields.put(name, value)));
        for (Edit edit : edits) {
            forEachField(
                    document,
                    "the configuration",
                    edit,
                    name -> {
                        try {
                            Config.of(document);
                        } catch (Json.MalformedException e) {
                            if (!e.getMessage().contains(name)
                                    && !e.getMessage()
                                            .contains(
                                                    ACCEPTED_MESSAGE_PARTS.getOrDefault(
                                                            name, name))) {
                                unnamedErrors.add(name + ": " + e.getMessage());
                            }
                        } catch (RuntimeException e) {
                            unnamedErrors.add(name + ": " + e);
                        }
                    });
        }
        assertEquals(List.of(), unnamedErrors);
        assertEquals(
                4,
                Config.of(document).initialServerList.version(),
                "the original configuration is unchanged");
    }

    @Test
    void requestWithoutCustomerBelongsToNone() {
        Config config = Config.of(validConfig());
        LineCodec codec = config.lineCodec;
        assertEquals(1, codec.parseOpen("OPEN 1 2 c=chat,t=umbra,d=100").customer());
        assertEquals(0, codec.parseOpen("OPEN 1 2 c=chat,t=acme,d=100").customer());
        assertEquals(-1, codec.parseOpen("OPEN 1 2 c=chat,d=100").customer());
    }

    @Test
    void unknownZonesAndCellsStayDistinct() {
        Config config = Config.of(validConfig());
        List<Object> hosts = new ArrayList<>();
        for (String site : List.of("a", "b", "c", "d", "c")) {
            hosts.add(
                    map(
                            "host",
                            "s" + hosts.size(),
                            "site",
                            site,
                            "class",
                            "x" + site,
                            "block",
                            "k" + site,
                            "health",
                            "up"));
        }
        var servers =
                ServerList.fromJson(map("seq", 9L, "whole", true, "hosts", hosts), config.nameIndex)
                        .servers();
        assertEquals(List.of(0, 1), servers.stream().map(s -> s.zone()).limit(2).toList());
        assertEquals(4, servers.stream().map(s -> s.zone()).distinct().count());
        assertEquals(servers.get(2).zone(), servers.get(4).zone());
        assertEquals(
                1,
                ServerList.fromJson(
                                map(
                                        "seq",
                                        9L,
                                        "whole",
                                        true,
                                        "hosts",
                                        List.of(map("host", "n", "site", 1L, "health", "up"))),
                                config.nameIndex)
                        .servers()
                        .get(0)
                        .zone());
        assertEquals(servers.get(2).cell(), servers.get(4).cell());
        assertNotEquals(servers.get(2).cell(), servers.get(3).cell());
        assertNotEquals(servers.get(0).model(), servers.get(1).model());
        assertTrue(
                Config.of(validConfig()).nameIndex != config.nameIndex,
                "two relays of one process share no names");
    }
}
