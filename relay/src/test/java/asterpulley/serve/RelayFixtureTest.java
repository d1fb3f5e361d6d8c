package asterpulley.serve;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The test peers themselves. Guards against a listener that still takes a connection after a test
 * has closed it, so that a refused connection is not refused.
 */
@Timeout(60)
class RelayFixtureTest extends RelayFixture {
    private static final int LISTENERS = 500;

    @Test
    void closedListenerRefusesAtOnce() throws Exception {
        for (int i = 0; i < LISTENERS; i++) {
            ServerSocket listener = listen(connection -> {});
            stopListening(listener);
            assertThrows(
                    ConnectException.class,
                    () -> new Socket(listener.getInetAddress(), listener.getLocalPort()).close());
        }
    }
}
