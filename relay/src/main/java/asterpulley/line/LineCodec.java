package asterpulley.line;

import asterpulley.LoadReport;
import asterpulley.Outcome;
import asterpulley.decode.SettingsDecoder;
import asterpulley.net.Termination;
import asterpulley.net.TunnelRequest;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Owns the words of the platform's line protocol: lines are read into the relay's terms here and
 * written here, and nowhere else. It must never decide anything, nor touch a socket.
 */
public final class LineCodec {
    /** The longest line that is taken. */
    public static final int MAX_LINE_BYTES = 4096;

    /** Lines go on byte for byte, whatever a client wrote in them. */
    public static final Charset CHARSET = StandardCharsets.ISO_8859_1;

    public static final String PONG = "PONG";
    public static final String MOVE = "MOVE";
    public static final String ERR = "ERR";
    public static final String PING = "PING";
    public static final String STATS = "STATS";
    public static final String NO = "NO";

    private static final Pattern MARK = Pattern.compile("[0-9a-fA-F]{1,32}");

    /** No blank, no control character. */
    private static final Pattern PLAIN = Pattern.compile("[!-~\\x80-\\xff]+");

    private static final Pattern MILLISECONDS = Pattern.compile("[1-9][0-9]{0,9}");

    /**
     * A client's first line; {@code patience} is NaN where it names none, as only a standing
     * tunnel's may.
     */
    public record OpenRequest(
            String id,
            String key,
            int profile,
            int customer,
            String group,
            double clientTimeout,
            String previousServer,
            String beforePatience,
            String afterPatience)
            implements TunnelRequest {
        /** The line for a backend: unchanged but for how long this relay will wait. */
        @Override
        public byte[] setupMessage(double wait) {
            return line(
                    afterPatience == null
                            ? beforePatience
                            : beforePatience
                                    + Math.max(1, Math.round(wait * 1000))
                                    + afterPatience);
        }
    }

    /** A line as it goes out. */
    public static byte[] line(String text) {
        return (text + "\r\n").getBytes(CHARSET);
    }

    private final Map<String, Integer> profiles;
    private final Map<String, Integer> customers;

    /** The names that lines may use, by their place in the settings. */
    public LineCodec(Map<String, Object> settings) {
        profiles = places(settings, "profiles");
        customers = places(settings, "tenants");
    }

    /** Names as the bytes of a line have them. */
    private static Map<String, Integer> places(Map<String, Object> settings, String list) {
        Map<String, Integer> places = new HashMap<>();
        SettingsDecoder.activeIndexes(settings, list)
                .forEach(
                        (name, place) ->
                                places.put(
                                        new String(name.getBytes(StandardCharsets.UTF_8), CHARSET),
                                        place));
        return places;
    }

    /**
     * Null where the line is not an opening to the letter: backends close on what they cannot read,
     * and what one client sent must never cost another its tunnel.
     */
    public OpenRequest parseOpen(String line) {
        String[] w = line.split(" ", -1);
        if (w.length != 4
                || !w[0].equals("OPEN")
                || !MARK.matcher(w[1]).matches()
                || !MARK.matcher(w[2]).matches()
                || !PLAIN.matcher(w[3]).matches()) {
            return null;
        }
        Map<String, String> named = new HashMap<>();
        String before = line;
        String after = null;
        int from = line.length() - w[3].length();
        for (String pair : w[3].split(",", -1)) {
            int eq = pair.indexOf('=');
            if (eq <= 0 || named.put(pair.substring(0, eq), pair.substring(eq + 1)) != null) {
                return null;
            }
            if (pair.startsWith("d=")) {
                before = line.substring(0, from + 2);
                after = line.substring(from + pair.length());
            }
            from += pair.length() + 1;
        }
        Integer profile = profiles.get(named.get("c"));
        String customer = named.get("t");
        String at = named.get("at");
        String patience = named.get("d");
        boolean wrong =
                profile == null
                        || customer != null
                                && !customers.isEmpty()
                                && !customers.containsKey(customer)
                        || patience == null && at == null
                        || patience != null && !MILLISECONDS.matcher(patience).matches()
                        || "".equals(at);
        return wrong
                ? null
                : new OpenRequest(
                        w[1],
                        w[2],
                        profile,
                        customers.getOrDefault(customer, -1),
                        named.get("g"),
                        patience == null ? Double.NaN : Long.parseLong(patience) / 1000.0,
                        at,
                        before,
                        after);
    }

    public static String busy(double retryAfter) {
        return retryAfter > 0 ? "BUSY " + Math.round(retryAfter * 1000) : "BUSY";
    }

    public static boolean isOpened(String line) {
        return line.startsWith("UP ");
    }

    /** What a backend's line says of the tunnel's end; null where it says nothing of that. */
    public static Termination.Cause cause(String line) {
        int space = line.indexOf(' ');
        return switch (space < 0 ? line : line.substring(0, space)) {
            case "BYE" -> Termination.Cause.BYE;
            case MOVE -> Termination.Cause.MOVE;
            case ERR -> Termination.Cause.ERR;
            case "BUSY" -> Termination.Cause.BUSY;
            default -> null;
        };
    }

    /** A tunnel's load in cores, where this line tells it; else NaN. */
    public static double load(String line) {
        if (!line.startsWith("LOAD ")) {
            return Double.NaN;
        }
        try {
            return Double.parseDouble(line.substring(5).trim()) / 1e6;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    public static Outcome probed(String line) {
        return line.startsWith(PONG)
                ? Outcome.OK
                : Termination.Cause.BUSY == cause(line) ? Outcome.FULL : Outcome.FAILED;
    }

    /** The load report behind an answer's first word, where there is one. */
    public static LoadReport report(String line) {
        Map<String, Object> figures = new HashMap<>();
        int space = line.indexOf(' ');
        for (String pair :
                space < 0 ? new String[0] : line.substring(space + 1).trim().split(",")) {
            int eq = pair.indexOf('=');
            try {
                figures.put(
                        name(pair.substring(0, Math.max(0, eq))),
                        Double.valueOf(pair.substring(eq + 1)));
            } catch (NumberFormatException e) {
                // A figure that is no number is left out, the others count.
                continue;
            }
        }
        return SettingsDecoder.decodeReport(figures);
    }

    /** Lines may name figures otherwise than the settings do. */
    private static String name(String figure) {
        return switch (figure) {
            case "util" -> "busy";
            case "inflight" -> "rif";
            case "eps" -> "fail_rate";
            default -> figure;
        };
    }
}
