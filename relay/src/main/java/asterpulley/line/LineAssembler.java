package asterpulley.line;

import asterpulley.net.PeerConnection;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * Owns a line that has come only in part. Bytes go in as they were read, whole lines come out,
 * however they were split or joined on their way. It must never keep more than the longest line,
 * and never lose a byte behind one.
 */
public final class LineAssembler {
    private byte[] bytes = new byte[128];
    private int size;
    private boolean tooLong, bareLineFeed;

    /** What has come in part on this connection. */
    public static LineAssembler of(PeerConnection peer) {
        if (peer.decoderState == null) {
            peer.decoderState = new LineAssembler();
        }
        return (LineAssembler) peer.decoderState;
    }

    /**
     * The next whole line, without its end; null when it is still to come. What follows it stays in
     * the buffer.
     */
    public String nextLine(Buffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                bareLineFeed = size == 0 || bytes[size - 1] != '\r';
                int end = bareLineFeed ? size : size - 1;
                String line = new String(bytes, 0, end, LineCodec.CHARSET);
                size = 0;
                return line;
            }
            if (size == bytes.length) {
                if (size >= LineCodec.MAX_LINE_BYTES - 1) {
                    tooLong = true;
                    continue;
                }
                bytes = Arrays.copyOf(bytes, Math.min(2 * size, LineCodec.MAX_LINE_BYTES - 1));
            }
            bytes[size++] = b;
        }
        return null;
    }

    /** True once a line came that is longer than any may be. */
    public boolean isTooLong() {
        return tooLong;
    }

    /** True when the last line ended without its carriage return. */
    public boolean endedWithBareLineFeed() {
        return bareLineFeed;
    }

    /** True between two lines. */
    public boolean isBetweenLines() {
        return size == 0;
    }
}
