package asterpulley.net;

import asterpulley.Balance;
import asterpulley.Front;
import asterpulley.Listed;
import asterpulley.Outcome;
import asterpulley.Report;
import asterpulley.Settings;
import asterpulley.routes.Charter;
import asterpulley.routes.Guide;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The third stage, route: owns the decision module and is its front on sockets. Every call into the
 * module goes through {@link #tell}, one after the other: what a decision sets off on a socket may
 * fail at once, and that must never reach the module while it is still deciding. It must decide
 * nothing itself.
 */
public final class Route extends BaseFilter implements Front {
    private static final Logger LOG = Logger.getLogger(Balance.class.getName());

    private static final double SWEEP = 0.25;

    private final Loop loop;
    private final Book book;
    private final ArrayDeque<Runnable> calls = new ArrayDeque<>();
    private boolean deciding;

    /**
     * Null where nothing narrows the module's choice, as on the platform: its classes are not even
     * loaded then.
     */
    private Guide guide;

    private Balance balance;
    private Consumer<String> probes;
    private Runnable watch;
    private Runnable whenListed = () -> {};

    public Route(Loop loop, Book book) {
        this.loop = loop;
        this.book = book;
    }

    /** Narrows the module's choice from now on; before the start, or never. */
    public void narrowedBy(Guide routes) {
        guide = routes;
        book.whenLeft(passage -> guide.over(passage.id));
        loop.after(SWEEP, this::sweep);
    }

    /** Time passes for the pools; guests whose home is back are moved there. */
    private void sweep() {
        for (long id : guide.tick(loop.now())) {
            Passage passage = book.find(id);
            if (passage != null && passage.standing && !passage.moving) {
                passage.talk.move(passage);
            }
        }
        loop.after(SWEEP, this::sweep);
    }

    public Guide guide() {
        return guide;
    }

    /**
     * Starts the module once all that it may call stands: who asks servers for their load, and who
     * watches the list.
     */
    public void start(
            Settings settings,
            long seed,
            List<Listed> known,
            Consumer<String> probes,
            Runnable watch) {
        this.probes = probes;
        this.watch = watch;
        tell(
                () -> {
                    balance = new Balance(settings, seed, this);
                    list(known, true);
                });
        if (!settings.listMustBeAsked) {
            // The module asks only where it must; on sockets news always has to be asked for.
            watch.run();
        }
    }

    /**
     * These count from now on, for the module and, where there are pools, for their rules: none may
     * be half changed.
     */
    public void settings(Settings anew, Charter charter) {
        if (guide != null) {
            guide.change(charter, loop.now());
        }
        tell(() -> balance.settings(anew));
    }

    private void tell(Runnable call) {
        calls.add(call);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            while (!calls.isEmpty()) {
                try {
                    calls.poll().run();
                } catch (RuntimeException bug) {
                    // One call that fails must not end the relay and all that stands on it.
                    book.count("module_failed");
                    LOG.log(Level.SEVERE, "the module failed", bug);
                }
            }
        } finally {
            deciding = false;
        }
    }

    // ---- Towards the module

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        if (!(ctx.getMessage() instanceof Passage passage)) {
            return ctx.getInvokeAction();
        }
        take(passage);
        return ctx.getStopAction();
    }

    /**
     * A tunnel that a front has taken in and that there is room for; what becomes of it, its {@link
     * Talk} is asked.
     */
    public void take(Passage passage) {
        passage.id = book.enter(passage);
        if (passage.asked.at() != null) {
            passage.talk.reopen(passage);
        } else {
            Asked o = passage.asked;
            if (guide != null) {
                guide.taken(passage.id, o.profile(), o.key(), loop.now());
            }
            double budget = Double.isNaN(o.patience()) ? 0 : Math.max(1e-3, o.patience());
            tell(
                    () ->
                            passage.handle =
                                    balance.take(
                                            passage.id,
                                            o.profile(),
                                            o.customer(),
                                            o.group(),
                                            o.key(),
                                            budget,
                                            false));
            if (passage.handle == null) {
                // The module failed on it: its client must still get its one answer.
                book.closeWithError(passage);
            }
            if (budget > 0 && !passage.answered) {
                passage.overdue = loop.after(budget, () -> overdue(passage));
            }
        }
    }

    /**
     * Guards against a tunnel that nobody answers: at its client's timeout it is given up, at the
     * latest.
     */
    public void overdue(Passage passage) {
        if (!passage.answered) {
            book.count("overdue");
            withdrawn(passage);
            passage.talk.abandon(passage);
            giveUp(passage);
        }
    }

    /**
     * No further setup, the one that is out is given up, and the client is told that it is closed
     * with error.
     */
    public void drop(Passage passage) {
        withdrawn(passage);
        passage.talk.abandon(passage);
        book.closeWithError(passage);
    }

    /**
     * The final answer to a tunnel with no setup out that gets no further one: which, the module
     * tells.
     */
    public void giveUp(Passage passage) {
        tell(
                () -> {
                    if (passage.handle != null) {
                        passage.handle.giveUp();
                    }
                    // It never reached the module, or the module failed on it.
                    book.closeWithError(passage);
                });
    }

    public void opened(Passage passage) {
        Asked o = passage.asked;
        if (guide != null && passage.handle == null) {
            guide.standing(passage.id, o.profile(), o.key(), passage.host, loop.now());
        } else if (guide != null) {
            guide.opened(passage.id, loop.now());
        }
        if (passage.handle == null) {
            tell(
                    () ->
                            passage.handle =
                                    balance.standing(
                                            passage.id,
                                            o.profile(),
                                            o.customer(),
                                            o.group(),
                                            o.key(),
                                            passage.host));
        } else {
            int setup = passage.setups - 1;
            double lag = loop.now() - passage.sentAt;
            tell(() -> passage.handle.opened(setup, lag));
        }
    }

    /** A setup, or what it opened, has ended. */
    public void ended(Passage passage, Failure failure) {
        if (guide != null) {
            guide.ended(
                    passage.id,
                    failure.outcome(),
                    failure.cause() != Failure.Cause.CLIENT_LEFT,
                    loop.now());
        }
        int setup = passage.setups - 1;
        double lag = loop.now() - passage.sentAt;
        boolean last = passage.answered;
        tell(
                () -> {
                    if (passage.handle != null) {
                        passage.handle.ended(setup, failure.outcome(), lag, last);
                    }
                });
    }

    /**
     * Its connection is up: false where what would be written now came too late for its server or
     * its window.
     */
    public boolean mayGo(Passage passage) {
        return passage.handle == null || passage.handle.mayGo();
    }

    public void withdrawn(Passage passage) {
        tell(
                () -> {
                    if (passage.handle != null) {
                        passage.handle.withdrawn();
                    }
                });
    }

    public void load(Passage passage, double cores) {
        if (guide != null) {
            guide.load(passage.id, cores);
        }
        if (passage.handle != null) {
            tell(() -> passage.handle.load(cores));
        }
    }

    public void delay(Passage passage, double message) {
        if (passage.handle != null) {
            tell(() -> passage.handle.delay(message));
        }
    }

    public void probed(String host, Outcome outcome, Report report) {
        if (guide != null) {
            guide.probed(host, outcome, report, loop.now());
        }
        tell(() -> balance.probed(host, outcome, report));
    }

    public void listed(List<Listed> servers, boolean whole) {
        tell(
                () -> {
                    list(servers, whole);
                    whenListed.run();
                });
    }

    /** Is told whenever news of the list is in force here. */
    public void whenListed(Runnable then) {
        whenListed = then;
    }

    private void list(List<Listed> servers, boolean whole) {
        if (guide != null) {
            guide.list(servers, whole, loop.now());
        }
        balance.list(servers, whole);
        loop.after(0, this::recall);
    }

    /** The servers that operators leave out from now on, all of them; true by when this returns. */
    public void cordon(Set<String> servers) {
        tell(() -> balance.cordon(servers));
        recall();
    }

    /** Setups still on their way to a server that is to get nothing new are placed elsewhere. */
    private void recall() {
        for (Passage passage : book.all()) {
            if (passage.out && passage.asked.at() == null && !balance.allowed(passage.host)) {
                passage.talk.recall(passage);
            }
        }
    }

    /** What the module has learned, for another process of this relay; see {@link #learn}. */
    public double[] learned() {
        return balance.learned();
    }

    /** Takes on what another process had learned; false where it cannot be used. */
    public boolean learn(double[] learned) {
        return balance.learn(learned);
    }

    /** The module's own view of its servers, to be read and not called on. */
    public Set<String> cordoned() {
        return balance.cordoned();
    }

    public boolean knows(String server) {
        return balance.knows(server);
    }

    public int members(boolean onlyAvoided) {
        return balance.members(onlyAvoided);
    }

    public void listFailed(boolean silent) {
        tell(() -> balance.listFailed(silent));
    }

    // ---- From the module

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void setup(Balance.Tunnel tun, String ep, double timeout) {
        Passage passage = book.find(tun.id);
        if (passage != null) {
            if (guide != null) {
                guide.setup(tun.id, ep, loop.now());
            }
            passage.talk.setup(passage, ep, timeout);
        }
    }

    @Override
    public boolean may(Balance.Tunnel tun, int server, String ep) {
        return guide == null || guide.may(tun.id, server, ep, loop.now());
    }

    @Override
    public boolean widen(Balance.Tunnel tun) {
        return guide != null && guide.widen(tun.id, loop.now());
    }

    @Override
    public void decline(Balance.Tunnel tun, double retryAfter) {
        book.decline(book.find(tun.id), retryAfter);
    }

    @Override
    public void closeWithError(Balance.Tunnel tun) {
        book.closeWithError(book.find(tun.id));
    }

    @Override
    public void move(Balance.Tunnel tun) {
        Passage passage = book.find(tun.id);
        if (passage != null) {
            passage.talk.move(passage);
        }
    }

    @Override
    public void probe(String ep) {
        probes.accept(ep);
    }

    @Override
    public void watch() {
        watch.run();
    }

    @Override
    public void wake(double after, long token) {
        loop.after(after, () -> tell(() -> balance.woke(token)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
