package asterpulley.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against cancelled timers that fill the heap until the time that a client asked for. */
class EventLoopTest {
    private static final double LONGEST_CLIENT_TIMEOUT_SECONDS = 9_999_999;

    @Test
    void forgetsCancelledTimers() {
        EventLoop loop = new EventLoop();
        List<EventLoop.Timer> pending = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            EventLoop.Timer timer = loop.schedule(LONGEST_CLIENT_TIMEOUT_SECONDS, () -> {});
            if (i % 100 == 0) {
                pending.add(timer);
            } else {
                timer.cancel();
                timer.cancel();
            }
            int limit = 2 * pending.size() + 300;
            assertTrue(loop.timerCount() <= limit, loop.timerCount() + " of " + limit);
        }
        assertTrue(loop.timerCount() >= pending.size(), "those that are due later are kept");
        pending.forEach(EventLoop.Timer::cancel);
        assertTrue(loop.timerCount() <= 300, loop.timerCount() + " are left");
    }
}
