package asterpulley.net;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Owns how addresses are read: as numbers and a port, since there are no names to look up. It must
 * never look one up.
 */
public final class Addresses {
    private Addresses() {}

    /** Empty where the text is no address and port. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return Optional.of(new InetSocketAddress(text.substring(0, colon), port));
            }
        } catch (IllegalArgumentException e) {
            // Told below like every other wrong address.
            return Optional.empty();
        }
        return Optional.empty();
    }

    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
