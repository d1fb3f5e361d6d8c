package asterpulley.net;

import asterpulley.Settings;
import asterpulley.decode.Json;
import asterpulley.decode.SettingsDecoder;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Owns what this relay is told: one file, read at its start and anew at every SIGHUP. Each reading is a value of its
 * own that never changes; what is wrong with a file must be said in one plain line, and must never harm a relay that
 * already runs on an earlier reading.
 */
final class Config {
    final String name;
    final InetSocketAddress listen;
    final InetSocketAddress discovery;
    final long seed;
    final int sockets;
    final double memory;
    final double connectTimeout;
    final Settings settings;
    final Words words;
    final Words.Fleet known;
    private final Map<String, Object> told;

    private Config(Map<String, Object> in) {
        told = Json.object(in.get("settings"), "settings");
        name = Json.text(in, "name");
        listen = address(Json.text(in, "listen"));
        discovery = address(Json.text(in, "discovery"));
        seed = seed(Json.text(in, "seed"));
        sockets = (int) Json.number(Json.part(in, "limits"), "sockets", 1024);
        memory = Json.number(Json.part(in, "limits"), "memory_mb", 192) * (1 << 20);
        connectTimeout = Json.number(Json.part(told, "limits"), "dialTimeoutMs", 1000) / 1000;
        settings = SettingsDecoder.settings(told);
        words = new Words(told);
        known = words.fleet(Json.object(in.get("known"), "known"));
        if (settings.profiles.isEmpty()) {
            throw new Json.Malformed("settings name no profiles");
        }
    }

    static Config read(Path file) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(Files.newInputStream(file))) {
            parser.nextToken();
            return new Config(Json.object(Json.value(parser), "the configuration"));
        } catch (JsonProcessingException e) {
            throw new Json.Malformed("not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /** True where that reading asks for what only a new start can give: the module and the names are set up once. */
    boolean needsStart(Config anew) {
        return !told.equals(anew.told) || !name.equals(anew.name) || !listen.equals(anew.listen);
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new Json.Malformed("seed '" + hex + "' is not hexadecimal");
        }
    }

    /** Addresses come as numbers: there are no names to look up. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException e) {
            // Told below like every other wrong address.
        }
        throw new Json.Malformed("'" + text + "' is not an address and a port");
    }
}
