package asterpulley.net;

import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * Owns a line that has come only in part. Bytes go in as they were read, whole lines come out, however they were
 * split or joined on their way. It must never keep more than the longest line, and never lose a byte behind one.
 */
final class Gather {
    private byte[] bytes = new byte[128];
    private int size;
    private boolean tooLong;

    /** The next whole line, without its end; null when it is still to come. What follows it stays in the buffer. */
    String next(Buffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                int end = size > 0 && bytes[size - 1] == '\r' ? size - 1 : size;
                String line = new String(bytes, 0, end, Words.BYTES);
                size = 0;
                return line;
            }
            if (size == bytes.length) {
                if (size >= Words.LONGEST) {
                    tooLong = true;
                    continue;
                }
                bytes = Arrays.copyOf(bytes, 2 * size);
            }
            bytes[size++] = b;
        }
        return null;
    }

    /** True once a line came that is longer than any may be. */
    boolean tooLong() {
        return tooLong;
    }

    /** True between two lines. */
    boolean between() {
        return size == 0;
    }
}
