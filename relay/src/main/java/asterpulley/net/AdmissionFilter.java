package asterpulley.net;

import asterpulley.Settings;
import java.io.IOException;
import java.util.Random;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The second stage, admit: owns the relay's own room, which is sockets. A tunnel needs two, and
 * some stay in reserve so that newcomers can always be accepted and told to come back. It must
 * never judge backends: that is the module's; and never decline a client with a whole line while
 * enough idle ones can make room for it.
 */
public final class AdmissionFilter extends BaseFilter {
    /** Who else holds the machine's descriptors may have let them go by then. */
    private static final double SCARCE_FOR = 5;

    private final EventLoop loop;
    private Settings settings;
    private final TunnelProtocol talk;
    private final TunnelRegistry book;
    private final IdleConnections lobby;
    private final Random random;

    /** As told; less where the machine gave fewer of late. */
    private int told, room;

    private int reserve;
    private EventLoop.Timer scarce;
    private boolean crowded;

    public AdmissionFilter(
            EventLoop loop,
            Settings settings,
            TunnelProtocol talk,
            TunnelRegistry book,
            IdleConnections lobby,
            Random random) {
        this.loop = loop;
        this.settings = settings;
        this.talk = talk;
        this.book = book;
        this.lobby = lobby;
        this.random = random;
    }

    /** These count from now on. */
    public void updateSettings(Settings anew) {
        settings = anew;
    }

    /**
     * The sockets that tunnels, probes and newcomers may take together. The bound may change while
     * tunnels stand: what is above a lower one leaves by itself, and nothing new comes meanwhile.
     */
    public void setSocketLimit(int sockets) {
        told = sockets;
        bound(told);
    }

    private void bound(int sockets) {
        room = sockets;
        reserve = Math.max(8, room / 16);
        lobby.most(room - reserve / 2);
    }

    /**
     * The machine refused a descriptor: what is in use now is the bound, for a while, and who is
     * idle makes room below it. A newcomer waits in the queue meanwhile, and setups still get
     * theirs.
     */
    void refused(IOException why) {
        book.count("accepts_refused");
        if (scarce == null) {
            book.log(
                    "no descriptor for a newcomer ("
                            + why.getMessage()
                            + "), in use "
                            + book.sockets
                            + " of "
                            + room);
        } else {
            scarce.cancel();
        }
        scarce =
                loop.schedule(
                        SCARCE_FOR,
                        () -> {
                            scarce = null;
                            bound(told);
                        });
        bound(Math.min(room, book.sockets));
        lobby.makeRoom(room - reserve / 2);
    }

    /**
     * How many seconds the next newcomer waits in the queue: where all sockets for newcomers are
     * idle ones', until one of these has had the time to say its line. Where nobody is idle it is
     * told at once.
     */
    double queue() {
        return lobby.makeRoomForNewcomer(room - reserve / 2 - 1) ? 0 : lobby.nextIdle();
    }

    /**
     * Guards against crowds that connect and say nothing: the longest silent give way to whoever
     * comes. Where nobody can, the newcomer is told at once, before a word is read, and its socket
     * is free again.
     */
    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        if (!lobby.makeRoomForNewcomer(room - reserve / 2)) {
            PeerConnection leg = PeerConnection.of(ctx.getConnection());
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
        return ctx.getMessage() instanceof TunnelContext passage && !admit(passage)
                ? ctx.getStopAction()
                : ctx.getInvokeAction();
    }

    /** False where there is no room for this tunnel: it is declined then. */
    public boolean admit(TunnelContext passage) {
        boolean full = !lobby.makeRoom(room - reserve - 1);
        // Near the bound every tunnel crosses it: the mode is over when half the reserve again is
        // free, or idle ones'.
        if (full
                ? !crowded
                : crowded && book.sockets - lobby.idle() < room - reserve - reserve / 2) {
            crowded = full;
            book.log(
                    (full ? "no sockets left: declining" : "sockets again")
                            + ", in use "
                            + book.sockets
                            + " of "
                            + room);
        }
        if (full) {
            book.count("declined_no_sockets");
            book.decline(passage, comeBack());
        }
        return !full;
    }

    private double comeBack() {
        return settings.maxRetryAfter * (0.5 + 0.5 * random.nextDouble());
    }
}
