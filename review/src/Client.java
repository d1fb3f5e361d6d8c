import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ThreadLocalRandom;

/** A usual client: one line to open, then a line every 2 s, and it reads what comes at once. */
final class Client {
    private static final double LINE_EVERY_SECONDS = 2;

    /** The station groups to which clients belong. */
    private static final int GROUPS = 40;

    final String id;
    final String name;
    final Relay relay;
    private final String profile;
    private final int timeoutMs;
    private Socket socket;

    /** The answer to its first line; null if the connection ended, or the time was up, without one. */
    volatile String answer;

    volatile double sentAt, answeredAt, endedAt;

    /** The last whole line that came, what came of a line after it, and how the connection ended. */
    volatile String lastLine = "", partial = "", end;

    volatile boolean leaving;

    /** Until when it is cut off: nothing of it is sent, and nothing sent to it arrives. */
    volatile double silentUntil;

    /** The size of its receive buffer; 0 for the system's own. */
    int receiveBytes;

    volatile int lines;

    Client(String name, Relay relay, String profile, int timeoutMs) {
        this(name, relay, profile, timeoutMs, Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L << 62));
    }

    Client(String name, Relay relay, String profile, int timeoutMs, String id) {
        this.id = id;
        this.name = name;
        this.relay = relay;
        this.profile = profile;
        this.timeoutMs = timeoutMs;
    }

    /** Opens a tunnel and waits for the answer; true if it is up. Goes on by itself then. */
    boolean open() {
        try {
            socket = Net.connect(relay.port, 1000, receiveBytes);
            socket.setSoTimeout(timeoutMs);
            Net.LineReader reader = new Net.LineReader(socket);
            sentAt = Record.now();
            socket.getOutputStream()
                    .write(Net.line("OPEN " + id + " " + id + " c=" + profile + ",t=first,d=" + timeoutMs
                            + ",g=" + Integer.toHexString(0xb0 + ThreadLocalRandom.current().nextInt(GROUPS))));
            Record.line("client " + name + " sent " + id + " (" + profile + ") to relay " + relay.label);
            String line = reader.next();
            answer = line;
            answeredAt = Record.now();
            Record.line("client " + name + " was answered " + (line == null ? "by the end of its connection" : line));
            if (line == null || !line.startsWith("UP ")) {
                socket.close();
                return false;
            }
            socket.setSoTimeout(0);
            Net.daemon(() -> read(reader));
            Net.daemon(this::talk);
            return true;
        } catch (SocketTimeoutException e) {
            Record.line("client " + name + " gave up without an answer");
            Net.close(socket);
            return false;
        } catch (IOException e) {
            Record.line("client " + name + " has no answer: " + e.getMessage());
            return false;
        }
    }

    private void read(Net.LineReader reader) {
        String how;
        try {
            for (String line = reader.next(); line != null; line = reader.next()) {
                awaitEndOfSilence();
                lastLine = line;
                lines++;
                if (line.equals("MOVE")) {
                    break;
                }
            }
            how = lastLine.equals("MOVE") ? "moved" : "end";
        } catch (IOException e) {
            how = "broken: " + e.getMessage();
        }
        partial = reader.partial();
        endedAt = Record.now();
        end = leaving ? "left by itself" : how;
        Net.close(socket);
        Record.line("client " + name + " (" + answer + "): " + end + ", lines " + lines + ", last line '" + lastLine
                + "', after it '" + partial + "'");
    }

    private void talk() {
        try {
            for (int number = 1; end == null; number++) {
                Net.sleep(LINE_EVERY_SECONDS * (number == 1 ? ThreadLocalRandom.current().nextDouble() : 1));
                awaitEndOfSilence();
                socket.getOutputStream().write(Net.line("line " + number));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void awaitEndOfSilence() {
        while (silentUntil > Record.now()) {
            Net.sleep(0.05);
        }
    }

    void leave() {
        leaving = true;
        if (socket != null) {
            Net.close(socket);
        }
    }

    /** Whether its connection, once up, was cut off without MOVE. */
    boolean cutOff() {
        return end != null && !end.equals("moved") && !leaving;
    }
}
