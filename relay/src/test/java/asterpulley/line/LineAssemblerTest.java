package asterpulley.line;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

/** Guards against a line that was cut at the longest length and is taken for a whole one. */
class LineAssemblerTest {
    private static final String END = "\r\n";
    private static final int LONGEST_TEXT = LineCodec.MAX_LINE_BYTES - END.length();

    @Provide
    Arbitrary<List<Integer>> textLengths() {
        return Arbitraries.frequencyOf(
                        Tuple.of(4, Arbitraries.integers().between(0, 100)),
                        Tuple.of(
                                4,
                                Arbitraries.integers().between(LONGEST_TEXT - 3, LONGEST_TEXT + 3)),
                        Tuple.of(1, Arbitraries.integers().between(4000, 20_000)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(6);
    }

    @Provide
    Arbitrary<List<Integer>> readSizes() {
        return Arbitraries.frequencyOf(
                        Tuple.of(1, Arbitraries.integers().between(1, 3)),
                        Tuple.of(3, Arbitraries.integers().between(1, 9000)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(20);
    }

    @Property(tries = 500)
    void everyLineIsWholeOrTooLongHoweverItArrives(
            @ForAll("textLengths") List<Integer> lengths,
            @ForAll("readSizes") List<Integer> sizes) {
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < lengths.size(); i++) {
            sent.add(Character.toString('a' + i).repeat(lengths.get(i)));
        }
        byte[] stream = (String.join(END, sent) + END).getBytes(LineCodec.CHARSET);
        LineAssembler assembler = new LineAssembler();
        List<String> received = new ArrayList<>();
        int position = 0;
        for (int read = 0; position < stream.length; read++) {
            int size = Math.min(sizes.get(read % sizes.size()), stream.length - position);
            Buffer in = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, stream, position, size);
            position += size;
            for (ReceivedLine line = assembler.nextLine(in);
                    line != null;
                    line = assembler.nextLine(in)) {
                received.add(line.textOr("too long"));
            }
        }
        sent.replaceAll(text -> text.length() > LONGEST_TEXT ? "too long" : text);
        assertEquals(sent, received);
    }

    @Test
    void textOfALineThatIsTooLongCannotBeHad() {
        assertThrows(IllegalStateException.class, () -> ReceivedLine.tooLong().text());
    }
}
