import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** Buffers as most runtimes do: full blocks of a fixed size leave as they are, the rest when it is flushed. */
final class BlockStream extends FilterOutputStream {
    private final byte[] block;
    private int size;

    BlockStream(OutputStream out, int blockBytes) {
        super(out);
        block = new byte[blockBytes];
    }

    @Override
    public synchronized void write(int b) throws IOException {
        block[size++] = (byte) b;
        if (size == block.length) {
            leave();
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int from, int length) throws IOException {
        for (int i = 0; i < length; i++) {
            write(bytes[from + i]);
        }
    }

    @Override
    public synchronized void flush() throws IOException {
        leave();
    }

    private void leave() throws IOException {
        if (size > 0) {
            out.write(block, 0, size);
            size = 0;
        }
    }
}
