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
 * The configuration of this relay: one file, read at its start and again at every SIGHUP. Each
 * reading is an immutable value. An error in a file is reported in one plain line, and never harms
 * a relay that already runs with an earlier reading.
 */
final class Config {
    /**
     * Key of the settings service's address, in an operator's file only; the platform's file may
     * not name one.
     */
    static final String SETTINGS_SERVICE = "settings_service";

    private static final double DEFAULT_SOCKET_LIMIT = 1024, DEFAULT_MEMORY_MB = 192;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 1000;
    private static final int BYTES_PER_MB = 1 << 20;

    final String name;
    final InetSocketAddress listenAddress;
    final InetSocketAddress discoveryAddress;

    /** Where operators call; null if they cannot. */
    final InetSocketAddress operatorAddress;

    /**
     * The service that sends settings at run time; null if there is none, as on the platform, and
     * the settings of the file apply.
     */
    final InetSocketAddress settingsServiceAddress;

    final long seed;
    final int socketLimit;
    final double memoryBytes;
    final Settings settings;
    final LineCodec lineCodec;
    final ServerList.NameIndex nameIndex;
    final ServerList initialServerList;

    /** The configuration of the pools; null if there is none, as on the platform. */
    private final Map<String, Object> poolsDocument;

    private final Map<String, Object> settingsDocument;

    private Config(Map<String, Object> document) {
        settingsDocument = Json.object(document.get("settings"), "settings");
        name = Json.text(document, "name");
        listenAddress = parseAddress(Json.text(document, "listen"));
        discoveryAddress =
                document.get("discovery") == null
                        ? null
                        : parseAddress(Json.text(document, "discovery"));
        operatorAddress =
                document.get("operator") == null
                        ? null
                        : parseAddress(Json.text(document, "operator"));
        settingsServiceAddress =
                document.get(SETTINGS_SERVICE) == null
                        ? null
                        : parseAddress(Json.text(document, SETTINGS_SERVICE));
        seed = parseSeed(Json.text(document, "seed"));
        socketLimit =
                (int)
                        Json.number(
                                Json.objectOrEmpty(document, "limits"),
                                "sockets",
                                DEFAULT_SOCKET_LIMIT);
        memoryBytes =
                Json.number(Json.objectOrEmpty(document, "limits"), "memory_mb", DEFAULT_MEMORY_MB)
                        * BYTES_PER_MB;
        connectTimeout(settingsDocument);
        settings = SettingsDecoder.decode(settingsDocument);
        lineCodec = new LineCodec(settingsDocument);
        nameIndex = new ServerList.NameIndex(settingsDocument);
        initialServerList =
                ServerList.fromJson(Json.object(document.get("known"), "known"), nameIndex);
        poolsDocument =
                document.get("routes") == null
                        ? null
                        : Json.object(document.get("routes"), "routes");
        if (poolsDocument != null) {
            // An error in it must be reported now and not when it is used.
            routingPolicy(settingsDocument);
        }
        if (settings.profiles.isEmpty()) {
            throw new Json.MalformedException("settings name no profiles");
        }
    }

    /** Reads a configuration from the content of a file of any form, by the platform's names. */
    static Config of(Map<String, Object> document) {
        return new Config(document);
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

    boolean hasPools() {
        return poolsDocument != null;
    }

    /**
     * Returns the routing policy with the names and credits of the given settings, the active ones;
     * null if no pools are configured.
     */
    RoutingPolicy routingPolicy(Map<String, Object> effectiveDocument) {
        return poolsDocument == null
                ? null
                : RoutingPolicyDecoder.decode(poolsDocument, settings.zone, effectiveDocument);
    }

    /** Returns how long a connection to a server may take to open, in seconds. */
    static double connectTimeout(Map<String, Object> settingsDocument) {
        return Json.number(
                        Json.objectOrEmpty(settingsDocument, "limits"),
                        "dialTimeoutMs",
                        DEFAULT_CONNECT_TIMEOUT_MS)
                / 1000;
    }

    /** Returns the settings of this reading, by the platform's names. */
    Map<String, Object> settingsDocument() {
        return settingsDocument;
    }

    /**
     * Returns whether the new configuration changes something that only a restart can apply: the
     * load balancer and the names are set up once.
     */
    boolean requiresRestart(Config newConfig) {
        return !settingsDocument.equals(newConfig.settingsDocument)
                || !name.equals(newConfig.name)
                || !listenAddress.equals(newConfig.listenAddress)
                || !Objects.equals(operatorAddress, newConfig.operatorAddress)
                || (settingsServiceAddress == null) != (newConfig.settingsServiceAddress == null);
    }

    private static long parseSeed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new Json.MalformedException("seed '" + hex + "' is not hexadecimal");
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        return Addresses.parse(text)
                .orElseThrow(
                        () ->
                                new Json.MalformedException(
                                        "'" + text + "' is not an address and a port"));
    }
}
