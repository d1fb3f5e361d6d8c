package asterpulley.net;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Parses and formats addresses: a numeric IP address and a port. It must never look up a name,
 * since the relay's surroundings have no names to look up.
 */
public final class Addresses {
    private Addresses() {}

    /** Empty if the text is not a numeric address with a port. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return Optional.of(new InetSocketAddress(text.substring(0, colon), port));
            }
        } catch (IllegalArgumentException e) {
            // The port is not a number or out of range: no address, like any other malformed
            // text.
            return Optional.empty();
        }
        return Optional.empty();
    }

    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
