package asterpulley.net;

import asterpulley.Settings;
import java.util.Random;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The second stage, admit: owns the relay's own room, which is sockets. A tunnel needs two, and some stay in
 * reserve so that newcomers can always be accepted and told to come back. It must never judge backends: that is
 * the module's.
 */
public final class Admit extends BaseFilter {
    private Settings settings;
    private final Talk talk;
    private final Book book;
    private final Lobby lobby;
    private final Random random;
    private int room;
    private int reserve;
    private boolean crowded;

    public Admit(Settings settings, Talk talk, Book book, Lobby lobby, Random random) {
        this.settings = settings;
        this.talk = talk;
        this.book = book;
        this.lobby = lobby;
        this.random = random;
    }

    /** These count from now on. */
    public void settings(Settings anew) {
        settings = anew;
    }

    /**
     * The sockets that tunnels, probes and newcomers may take together. The bound may change while tunnels stand:
     * what is above a lower one leaves by itself, and nothing new comes meanwhile.
     */
    public void room(int sockets) {
        room = sockets;
        reserve = Math.max(8, room / 16);
    }

    /**
     * Guards against crowds that connect and say nothing: the longest silent give way to whoever comes. Where nobody
     * can, the newcomer is told at once, before a word is read, and its socket is free again.
     */
    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        if (!fits(room - reserve / 2)) {
            Leg leg = Leg.of(ctx.getConnection());
            book.count("declined_no_sockets");
            talk.decline(leg, comeBack());
            // Its line may be on its way: closing on that would destroy the answer.
            leg.linger();
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        return ctx.getMessage() instanceof Passage passage && !admits(passage) ? ctx.getStopAction() : ctx.getInvokeAction();
    }

    /** False where there is no room for this tunnel: it is declined then. */
    public boolean admits(Passage passage) {
        boolean full = !fits(room - reserve - 1);
        // Near the bound every tunnel crosses it: the mode is over when half the reserve again is free.
        if (full ? !crowded : crowded && book.sockets < room - reserve - reserve / 2) {
            crowded = full;
            book.log((full ? "no sockets left: declining" : "sockets again") + ", in use " + book.sockets
                    + " of " + room);
        }
        if (full) {
            book.count("declined_no_sockets");
            book.decline(passage, comeBack());
        }
        return !full;
    }

    private boolean fits(int most) {
        boolean freed = true;
        while (book.sockets > most && freed) {
            freed = lobby.giveWay();
        }
        return book.sockets <= most;
    }

    private double comeBack() {
        return settings.longestRetryAfter * (0.5 + 0.5 * random.nextDouble());
    }
}
