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
 * Reads and writes the lines of the platform's line protocol; no other class knows their words. It
 * must never decide anything, nor use a socket.
 */
public final class LineCodec {
    /** The longest line accepted. */
    public static final int MAX_LINE_BYTES = 4096;

    /**
     * One byte for each character, so that lines are passed on byte for byte, whatever a client
     * wrote in them.
     */
    public static final Charset CHARSET = StandardCharsets.ISO_8859_1;

    public static final String PONG = "PONG";
    public static final String MOVE = "MOVE";
    public static final String ERR = "ERR";
    public static final String PING = "PING";
    public static final String STATS = "STATS";
    public static final String NO = "NO";

    /** The value by which a client marks its retry. */
    private static final String CLIENT_RETRY_MARK = "1";

    /** Precedes the receipt of a backend that has opened a tunnel. */
    private static final String OPENED = "UP ";

    private static final double MICROCORES_PER_CORE = 1e6;

    private static final Pattern HEX_ID = Pattern.compile("[0-9a-fA-F]{1,32}");

    /** No blanks and no control characters. */
    private static final Pattern PRINTABLE = Pattern.compile("[!-~\\x80-\\xff]+");

    /** A larger figure is not one that a backend measured; sums of these stay exact enough. */
    private static final double MAX_FIGURE = 1e12;

    private static final Pattern MILLISECONDS = Pattern.compile("[1-9][0-9]{0,9}");

    /**
     * A client's first line; {@code clientTimeout} is NaN if the line names none, which only the
     * line of an established tunnel may.
     */
    public record OpenRequest(
            String id,
            String key,
            int profile,
            int customer,
            String group,
            boolean isClientRetry,
            double clientTimeout,
            String previousServer,
            String beforeTimeout,
            String afterTimeout)
            implements TunnelRequest {
        /** The line for a backend: unchanged except for how long this relay will wait. */
        @Override
        public byte[] setupMessage(double wait) {
            return encode(
                    afterTimeout == null
                            ? beforeTimeout
                            : beforeTimeout + Math.max(1, Math.round(wait * 1000)) + afterTimeout);
        }
    }

    /** The bytes of a line with its line end. */
    public static byte[] encode(String text) {
        return (text + "\r\n").getBytes(CHARSET);
    }

    private final Map<String, Integer> profiles;
    private final Map<String, Integer> customers;

    /** Takes the names that lines may use, with their indexes, from the settings. */
    public LineCodec(Map<String, Object> settings) {
        profiles = indexByName(settings, "profiles");
        customers = indexByName(settings, "tenants");
    }

    /** Indexes by name, each name decoded as it is in a line. */
    private static Map<String, Integer> indexByName(Map<String, Object> settings, String section) {
        Map<String, Integer> indexes = new HashMap<>();
        SettingsDecoder.activeIndexes(settings, section)
                .forEach(
                        (name, index) ->
                                indexes.put(
                                        new String(name.getBytes(StandardCharsets.UTF_8), CHARSET),
                                        index));
        return indexes;
    }

    /**
     * Null if the line is not exactly a valid {@code OPEN}: backends close a connection on what
     * they cannot read, and what one client sent must never cost another its tunnel.
     */
    public OpenRequest parseOpen(String line) {
        String[] words = line.split(" ", -1);
        if (words.length != 4
                || !words[0].equals("OPEN")
                || !HEX_ID.matcher(words[1]).matches()
                || !HEX_ID.matcher(words[2]).matches()
                || !PRINTABLE.matcher(words[3]).matches()) {
            return null;
        }
        Map<String, String> parameters = new HashMap<>();
        String beforeTimeout = line;
        String afterTimeout = null;
        int parameterStart = line.length() - words[3].length();
        for (String parameter : words[3].split(",", -1)) {
            int equals = parameter.indexOf('=');
            if (equals <= 0
                    || parameters.put(
                                    parameter.substring(0, equals), parameter.substring(equals + 1))
                            != null) {
                return null;
            }
            if (parameter.startsWith("d=")) {
                beforeTimeout = line.substring(0, parameterStart + 2);
                afterTimeout = line.substring(parameterStart + parameter.length());
            }
            parameterStart += parameter.length() + 1;
        }
        Integer profile = profiles.get(parameters.get("c"));
        String customer = parameters.get("t");
        String previousServer = parameters.get("at");
        String clientTimeout = parameters.get("d");
        boolean invalid =
                profile == null
                        || customer != null
                                && !customers.isEmpty()
                                && !customers.containsKey(customer)
                        || clientTimeout == null && previousServer == null
                        || clientTimeout != null && !MILLISECONDS.matcher(clientTimeout).matches()
                        || "".equals(previousServer);
        return invalid
                ? null
                : new OpenRequest(
                        words[1],
                        words[2],
                        profile,
                        customers.getOrDefault(customer, -1),
                        parameters.get("g"),
                        CLIENT_RETRY_MARK.equals(parameters.get("r")),
                        clientTimeout == null ? Double.NaN : Long.parseLong(clientTimeout) / 1000.0,
                        previousServer,
                        beforeTimeout,
                        afterTimeout);
    }

    /**
     * The line that declines a tunnel, to be tried again after {@code retryAfter} seconds (0: no
     * advice).
     */
    public static String busy(double retryAfter) {
        return retryAfter > 0 ? "BUSY " + Math.round(retryAfter * 1000) : "BUSY";
    }

    /** Whether a backend's line says that the tunnel is open. */
    public static boolean isOpened(String line) {
        return line.startsWith(OPENED) && line.length() > OPENED.length();
    }

    /** How a backend's line says that the tunnel ends; null if it does not. */
    public static Termination.Cause endCause(String line) {
        int space = line.indexOf(' ');
        return switch (space < 0 ? line : line.substring(0, space)) {
            case "BYE" -> Termination.Cause.BYE;
            case MOVE -> Termination.Cause.MOVE;
            case ERR -> Termination.Cause.ERR;
            case "BUSY" -> Termination.Cause.BUSY;
            default -> null;
        };
    }

    /** The tunnel's load in cores if this line reports it, else NaN. */
    public static double parseLoad(String line) {
        if (!line.startsWith("LOAD ")) {
            return Double.NaN;
        }
        try {
            return parseFigure(line.substring(5).trim()) / MICROCORES_PER_CORE;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /**
     * A figure of a backend: one that is not finite would spoil every sum that it enters.
     *
     * @throws NumberFormatException if it is no number, not finite or below 0
     */
    private static double parseFigure(String text) {
        double figure = Double.parseDouble(text);
        if (!(figure >= 0 && figure <= MAX_FIGURE)) {
            throw new NumberFormatException(text);
        }
        return figure;
    }

    /** What the answer to a probe says of the backend. */
    public static Outcome probeOutcome(String line) {
        return line.startsWith(PONG)
                ? Outcome.OK
                : Termination.Cause.BUSY == endCause(line) ? Outcome.FULL : Outcome.FAILED;
    }

    /** The load report behind the first word of a probe's answer; empty if there is none. */
    public static LoadReport parseReport(String line) {
        Map<String, Object> figures = new HashMap<>();
        int space = line.indexOf(' ');
        for (String pair :
                space < 0 ? new String[0] : line.substring(space + 1).trim().split(",")) {
            int equals = pair.indexOf('=');
            try {
                figures.put(
                        reportKey(pair.substring(0, Math.max(0, equals))),
                        parseFigure(pair.substring(equals + 1)));
            } catch (NumberFormatException e) {
                // A value that is no number is left out; the others count.
                continue;
            }
        }
        return SettingsDecoder.decodeReport(figures);
    }

    /** Translates the names that lines have for some values into those of the settings. */
    private static String reportKey(String figure) {
        return switch (figure) {
            case "util" -> "busy";
            case "inflight" -> "rif";
            case "eps" -> "fail_rate";
            default -> figure;
        };
    }
}
