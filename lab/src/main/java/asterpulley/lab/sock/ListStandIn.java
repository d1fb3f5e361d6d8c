package asterpulley.lab.sock;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The words of the service of the server list, or of another thing that relays watch, towards one
 * caller: reads its calls, lets one wait for news and answers. It must tell only what its service
 * knows.
 */
public final class ListStandIn implements Conn.Ear {
    /** What is told, and who hears of it that it was. */
    public interface Service {
        boolean down();

        long version();

        /** The whole list. */
        Answer whole();

        /** What changed after that version; nothing, where that is the version now. */
        Answer since(long version);

        /** So many bytes came with a call, or went out with an answer. */
        default void traffic(int in, int out) {}

        /** Its connection ended. */
        default void left(ListStandIn caller) {}
    }

    /** An answer's body, and what is to be done once it is on its way. */
    public record Answer(byte[] body, Runnable told) {}

    private static final String LIST = "instances";
    private static final byte[] NOTHING = "{}".getBytes(StandardCharsets.ISO_8859_1);
    private static final int LINE_END = 2;

    private final Pump pump;
    private final Service service;
    private final Pattern calls;
    private String call;
    private Conn waiting;
    private long since;
    private int called, heard;

    public ListStandIn(Pump pump, Service service) {
        this(pump, service, LIST);
    }

    /** {@code watched}: what is called for, behind {@code /registry/}. */
    public ListStandIn(Pump pump, Service service, String watched) {
        this.pump = pump;
        this.service = service;
        calls =
                Pattern.compile(
                        "GET /registry/"
                                + watched
                                + "(?:\\?index=([0-9]+)&wait=([0-9]+)(?:&epoch=[0-9]+)?)? HTTP/1.1");
    }

    /** For a service that has an address for each caller. */
    InetSocketAddress listens(InetSocketAddress at) throws IOException {
        return pump.listen(at, conn -> this).address;
    }

    @Override
    public void line(Conn conn, String line) {
        heard += line.length() + LINE_END;
        if (line.startsWith("GET ")) {
            call = line;
        } else if (line.isEmpty() && call != null) {
            Matcher m = calls.matcher(call);
            call = null;
            called++;
            service.traffic(heard, 0);
            heard = 0;
            if (!m.matches()) {
                say(conn, "400 Bad Request", NOTHING);
            } else if (service.down()) {
                say(conn, "503 Service Unavailable", NOTHING);
            } else if (m.group(1) == null) {
                tell(conn, service.whole());
            } else {
                since = Long.parseLong(m.group(1));
                waiting = conn;
                int n = called;
                if (service.version() > since) {
                    news();
                } else {
                    pump.schedule(
                            Long.parseLong(m.group(2)) / 1e3,
                            () -> {
                                if (waiting != null && called == n) {
                                    news();
                                }
                            });
                }
            }
        }
    }

    @Override
    public void ended(Conn conn, boolean broken) {
        if (waiting == conn) {
            waiting = null;
        }
        service.left(this);
    }

    /** Answers the call that waits, with what is new since its version. */
    public void news() {
        if (waiting != null && !service.down()) {
            Conn conn = waiting;
            waiting = null;
            tell(conn, service.since(since));
        }
    }

    /** Breaks off the call that waits. */
    public void goesDown() {
        if (waiting != null) {
            waiting.reset();
            waiting = null;
            service.left(this);
        }
    }

    private void tell(Conn conn, Answer answer) {
        say(conn, "200 OK", answer.body);
        answer.told.run();
    }

    private void say(Conn conn, String status, byte[] body) {
        byte[] head =
                ("HTTP/1.1 "
                                + status
                                + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        service.traffic(0, all.length);
        conn.raw(all);
    }
}
