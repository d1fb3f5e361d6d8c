package asterpulley.line;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Cuts any bytes, however they arrive, at the ends of lines. Guards against bytes lost or held. */
class WholeLinesTest {
    private static final int LONGEST_LINE_BYTES = LineCodec.MAX_LINE_BYTES;

    /** Lengths of lines, some longer than allowed. */
    @Provide
    Arbitrary<List<Integer>> lineLengths() {
        return Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(8, Arbitraries.integers().between(0, 150)),
                        net.jqwik.api.Tuple.of(
                                1, Arbitraries.integers().between(4000, 3 * LONGEST_LINE_BYTES)))
                .list()
                .ofMaxSize(20);
    }

    @Provide
    Arbitrary<List<Integer>> readSizes() {
        return Arbitraries.integers().between(1, 4096).list().ofMinSize(1).ofMaxSize(20);
    }

    @Property(tries = 300)
    void releasesEveryByteOnceAndOnlyInWholeLines(
            @ForAll("lineLengths") List<Integer> lengths,
            @ForAll("readSizes") List<Integer> sizes,
            @ForAll boolean endsWithPartialLine) {
        byte[] stream = stream(lengths, endsWithPartialLine);
        LineAssembler assembler = new LineAssembler();
        List<String> lines = new ArrayList<>();
        ByteArrayOutputStream released = new ByteArrayOutputStream();
        int position = 0;
        for (int read = 0; position < stream.length; read++) {
            int size = Math.min(sizes.get(read % sizes.size()), stream.length - position);
            Buffer bytes =
                    Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, stream, position, size);
            position += size;
            Buffer out =
                    WholeLines.read(
                            assembler, bytes, MemoryManager.DEFAULT_MEMORY_MANAGER, lines::add);
            if (out != null) {
                byte[] part = new byte[out.remaining()];
                out.get(part);
                released.writeBytes(part);
            }
            byte[] soFar = released.toByteArray();
            assertTrue(
                    assembler.isLineTooLong()
                            || soFar.length == 0
                            || soFar[soFar.length - 1] == '\n',
                    "the reader is between two lines");
            int complete = lastLineEnd(stream, position);
            assertTrue(soFar.length >= complete, "no complete line is held back");
        }
        released.writeBytes(WholeLines.heldBack(assembler));
        assertArrayEquals(stream, released.toByteArray());
        assertEquals(lengths.size(), lines.size());
    }

    private static byte[] stream(List<Integer> lengths, boolean endsWithPartialLine) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < lengths.size(); i++) {
            text.append(Character.toString('a' + i % 26).repeat(lengths.get(i))).append("\r\n");
        }
        return (text + (endsWithPartialLine ? "part of a line" : "")).getBytes(LineCodec.CHARSET);
    }

    private static int lastLineEnd(byte[] stream, int length) {
        for (int end = length; end > 0; end--) {
            if (stream[end - 1] == '\n') {
                return end;
            }
        }
        return 0;
    }
}
