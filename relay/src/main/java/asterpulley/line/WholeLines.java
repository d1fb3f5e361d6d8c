package asterpulley.line;

import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Cuts what a peer sends at the ends of its lines, so that whoever is sent the result is never in
 * the middle of a line. A line that is still incomplete stays in the {@link LineAssembler} until
 * its end arrives; only a line longer than the protocol allows passes in parts. It must never
 * change, lose or reorder a byte.
 */
final class WholeLines {
    private static final byte[] NONE = {};

    /** What the listener is told of a line that is too long to be read. */
    private static final String UNKNOWN_TEXT = "";

    private WholeLines() {}

    /**
     * Reads these bytes, which become unusable, and passes each line that they complete to the
     * listener; of one that is too long an empty text.
     *
     * @return the bytes to send on, which end with a line unless that line is too long; null if
     *     there are none yet
     */
    static Buffer read(
            LineAssembler assembler,
            Buffer bytes,
            MemoryManager<?> memory,
            Consumer<String> lineListener) {
        byte[] heldBack = heldBack(assembler);
        int start = bytes.position();
        int end = start;
        for (ReceivedLine line = assembler.nextLine(bytes);
                line != null;
                line = assembler.nextLine(bytes)) {
            end = bytes.position();
            lineListener.accept(line.textOr(UNKNOWN_TEXT));
        }
        if (assembler.isLineTooLong()) {
            end = bytes.limit();
        }
        bytes.position(start);
        bytes.limit(end);
        if (!bytes.hasRemaining()) {
            bytes.tryDispose();
            return null;
        }
        return heldBack.length == 0 ? bytes : join(heldBack, bytes, memory);
    }

    /** What was received of an incomplete line and not sent on. */
    static byte[] heldBack(LineAssembler assembler) {
        return assembler.isBetweenLines() || assembler.isLineTooLong()
                ? NONE
                : assembler.partialLine();
    }

    private static Buffer join(byte[] first, Buffer second, MemoryManager<?> memory) {
        byte[] joined = new byte[first.length + second.remaining()];
        System.arraycopy(first, 0, joined, 0, first.length);
        second.get(joined, first.length, second.remaining());
        second.tryDispose();
        return Buffers.wrap(memory, joined);
    }
}
