package asterpulley.lab.sock;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Serves long-poll requests for the server list, or for another watched resource, to one caller:
 * reads requests, holds one until there is news, and answers from its {@link Service}.
 */
public final class LongPollResponder implements LineConnection.Handler {
    /** Provides the versions and contents to publish, and is notified of traffic. */
    public interface Service {
        boolean isDown();

        long version();

        /** Returns the full contents. */
        Answer fullAnswer();

        /** Returns the changes after {@code version}; empty if that is the current version. */
        Answer answerSince(long version);

        /** Reports the bytes received with a request or sent with an answer. */
        default void recordTraffic(int in, int out) {}

        /** Called when the caller's connection ended. */
        default void callerLeft(LongPollResponder caller) {}
    }

    /** The body of an answer, and an action to run once it was sent. */
    public record Answer(byte[] body, Runnable onSent) {}

    private static final String SERVER_LIST = "instances";
    private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.ISO_8859_1);
    private static final int LINE_END_BYTES = 2;

    private final SelectorLoop loop;
    private final Service service;
    private final Pattern requestPattern;
    private String requestLine;
    private LineConnection waitingConnection;
    private long waitingVersion;
    private int requestCount, receivedBytes;

    /** Creates a responder for the server list. */
    public LongPollResponder(SelectorLoop loop, Service service) {
        this(loop, service, SERVER_LIST);
    }

    /** Creates a responder for the resource {@code /registry/<resource>}. */
    public LongPollResponder(SelectorLoop loop, Service service, String resource) {
        this.loop = loop;
        this.service = service;
        requestPattern =
                Pattern.compile(
                        "GET /registry/"
                                + resource
                                + "(?:\\?index=([0-9]+)&wait=([0-9]+)(?:&epoch=[0-9]+)?)? HTTP/1.1");
    }

    /** Listens on an address that serves only this caller. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        return loop.listen(address, connection -> this).address;
    }

    @Override
    public void lineReceived(LineConnection connection, String line) {
        receivedBytes += line.length() + LINE_END_BYTES;
        if (line.startsWith("GET ")) {
            requestLine = line;
        } else if (line.isEmpty() && requestLine != null) {
            Matcher request = requestPattern.matcher(requestLine);
            requestLine = null;
            requestCount++;
            service.recordTraffic(receivedBytes, 0);
            receivedBytes = 0;
            if (!request.matches()) {
                sendResponse(connection, "400 Bad Request", EMPTY_OBJECT);
            } else if (service.isDown()) {
                sendResponse(connection, "503 Service Unavailable", EMPTY_OBJECT);
            } else if (request.group(1) == null) {
                sendAnswer(connection, service.fullAnswer());
            } else {
                waitingVersion = Long.parseLong(request.group(1));
                waitingConnection = connection;
                int requestNumber = requestCount;
                if (service.version() > waitingVersion) {
                    answerWaiting();
                } else {
                    loop.schedule(
                            Long.parseLong(request.group(2)) / 1e3,
                            () -> {
                                if (waitingConnection != null && requestCount == requestNumber) {
                                    answerWaiting();
                                }
                            });
                }
            }
        }
    }

    @Override
    public void disconnected(LineConnection connection, boolean broken) {
        if (waitingConnection == connection) {
            waitingConnection = null;
        }
        service.callerLeft(this);
    }

    /** Answers the waiting request, if there is one, with the changes since its version. */
    public void answerWaiting() {
        if (waitingConnection != null && !service.isDown()) {
            LineConnection connection = waitingConnection;
            waitingConnection = null;
            sendAnswer(connection, service.answerSince(waitingVersion));
        }
    }

    /** Resets the connection of the waiting request. */
    public void dropWaiting() {
        if (waitingConnection != null) {
            waitingConnection.reset();
            waitingConnection = null;
            service.callerLeft(this);
        }
    }

    private void sendAnswer(LineConnection connection, Answer answer) {
        sendResponse(connection, "200 OK", answer.body);
        answer.onSent.run();
    }

    private void sendResponse(LineConnection connection, String status, byte[] body) {
        byte[] head =
                ("HTTP/1.1 "
                                + status
                                + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] response = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, response, head.length, body.length);
        service.recordTraffic(0, response.length);
        connection.send(response);
    }
}
