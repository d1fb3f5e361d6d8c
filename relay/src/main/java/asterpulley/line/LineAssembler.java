package asterpulley.line;

import asterpulley.net.PeerConnection;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * Assembles lines from bytes as they are read, however the network split or joined them. It must
 * never keep more than the longest line, and never lose a byte behind a line.
 */
public final class LineAssembler {
    private static final int INITIAL_BYTES = 128;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int size;
    private boolean lineTooLong;

    /** The assembler of this connection, created on first use. */
    public static LineAssembler of(PeerConnection peer) {
        if (peer.decoderState == null) {
            peer.decoderState = new LineAssembler();
        }
        return (LineAssembler) peer.decoderState;
    }

    /**
     * The next complete line; null if it is still incomplete. What follows the line stays in the
     * buffer.
     */
    ReceivedLine nextLine(Buffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                return completeLine();
            }
            if (size == bytes.length) {
                if (size >= LineCodec.MAX_LINE_BYTES - 1) {
                    lineTooLong = true;
                    continue;
                }
                bytes = Arrays.copyOf(bytes, Math.min(2 * size, LineCodec.MAX_LINE_BYTES - 1));
            }
            bytes[size++] = b;
        }
        return null;
    }

    private ReceivedLine completeLine() {
        boolean bareLineFeed = size == 0 || bytes[size - 1] != '\r';
        int end = bareLineFeed ? size : size - 1;
        ReceivedLine line =
                lineTooLong
                        ? ReceivedLine.tooLong()
                        : ReceivedLine.of(
                                new String(bytes, 0, end, LineCodec.CHARSET), bareLineFeed);
        size = 0;
        lineTooLong = false;
        return line;
    }

    /** True if the line now being received is longer than allowed; not all of it is kept. */
    public boolean isLineTooLong() {
        return lineTooLong;
    }

    /** A copy of what was received of a line that is still incomplete. */
    public byte[] partialLine() {
        return Arrays.copyOf(bytes, size);
    }

    /** True if no line has been received in part. */
    public boolean isBetweenLines() {
        return size == 0;
    }
}
