package asterpulley.serve;

import asterpulley.Settings;
import asterpulley.decode.Json;
import asterpulley.decode.RoutingPolicyDecoder;
import asterpulley.decode.SettingsDecoder;
import asterpulley.line.LineCodec;
import asterpulley.list.ServerList;
import asterpulley.net.Addresses;
import asterpulley.routes.RoutingPolicy;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;

/**
 * Owns what this relay is told: one file, read at its start and anew at every SIGHUP. Each reading
 * is a value of its own that never changes; what is wrong with a file must be said in one plain
 * line, and must never harm a relay that already runs on an earlier reading.
 */
final class Config {
    /** What an operator's file says of that; the platform's may not. */
    static final String SETTINGS_SERVICE = "settings_service";

    final String name;
    final InetSocketAddress listen;
    final InetSocketAddress discovery;

    /** Where operators call; null where they do not. */
    final InetSocketAddress operator;

    /**
     * Where settings are told while it runs; null: nowhere, as on the platform, and those of the
     * file count.
     */
    final InetSocketAddress settingsService;

    final long seed;
    final int sockets;
    final double memory;
    final Settings settings;
    final LineCodec lineCodec;
    final ServerList.NameIndex nameIndex;
    final ServerList initialServerList;

    /** What is told of pools; null where nothing is, as on the platform. */
    private final Map<String, Object> routes;

    private final Map<String, Object> told;

    private Config(Map<String, Object> in) {
        told = Json.object(in.get("settings"), "settings");
        name = Json.text(in, "name");
        listen = address(Json.text(in, "listen"));
        discovery = in.get("discovery") == null ? null : address(Json.text(in, "discovery"));
        operator = in.get("operator") == null ? null : address(Json.text(in, "operator"));
        settingsService =
                in.get(SETTINGS_SERVICE) == null ? null : address(Json.text(in, SETTINGS_SERVICE));
        seed = seed(Json.text(in, "seed"));
        sockets = (int) Json.number(Json.objectOrEmpty(in, "limits"), "sockets", 1024);
        memory = Json.number(Json.objectOrEmpty(in, "limits"), "memory_mb", 192) * (1 << 20);
        connectTimeout(told);
        settings = SettingsDecoder.decode(told);
        lineCodec = new LineCodec(told);
        nameIndex = new ServerList.NameIndex(told);
        initialServerList = ServerList.fromJson(Json.object(in.get("known"), "known"), nameIndex);
        routes = in.get("routes") == null ? null : Json.object(in.get("routes"), "routes");
        if (routes != null) {
            // What is wrong with it is to be said now, not when it is used.
            charter(told);
        }
        if (settings.profiles.isEmpty()) {
            throw new Json.MalformedException("settings name no profiles");
        }
    }

    /** What the file of another form says, under the same names. */
    static Config of(Map<String, Object> in) {
        return new Config(in);
    }

    static Config read(Path file) throws IOException {
        return new Config(readJson(file));
    }

    static Map<String, Object> readJson(Path file) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(Files.newInputStream(file))) {
            parser.nextToken();
            return Json.object(Json.read(parser), "the configuration");
        } catch (JsonProcessingException e) {
            throw new Json.MalformedException(
                    "not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    boolean tellsOfPools() {
        return routes != null;
    }

    /** With the names and credits of these settings, which are those in force. */
    RoutingPolicy charter(Map<String, Object> inForce) {
        return routes == null ? null : RoutingPolicyDecoder.decode(routes, settings.zone, inForce);
    }

    static double connectTimeout(Map<String, Object> settings) {
        return Json.number(Json.objectOrEmpty(settings, "limits"), "dialTimeoutMs", 1000) / 1000;
    }

    /** The settings of this reading, by the platform's names. */
    Map<String, Object> told() {
        return told;
    }

    /**
     * True where that reading asks for what only a new start can give: the module and the names are
     * set up once.
     */
    boolean needsStart(Config anew) {
        return !told.equals(anew.told)
                || !name.equals(anew.name)
                || !listen.equals(anew.listen)
                || !Objects.equals(operator, anew.operator)
                || (settingsService == null) != (anew.settingsService == null);
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new Json.MalformedException("seed '" + hex + "' is not hexadecimal");
        }
    }

    private static InetSocketAddress address(String text) {
        return Addresses.parse(text)
                .orElseThrow(
                        () ->
                                new Json.MalformedException(
                                        "'" + text + "' is not an address and a port"));
    }
}
