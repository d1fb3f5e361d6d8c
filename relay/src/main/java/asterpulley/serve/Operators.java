package asterpulley.serve;

import asterpulley.door.Desk;
import asterpulley.door.Figures;
import asterpulley.net.Book;
import asterpulley.net.Route;
import java.util.Set;
import java.util.TreeSet;

/**
 * Owns what operators may ask of this relay while it runs, and says yes only after the thing is so. It must never
 * change anything and then say no.
 */
final class Operators implements Desk {
    private final Farewell farewell;
    private final Book book;
    private final Route route;

    Operators(Farewell farewell, Book book, Route route) {
        this.farewell = farewell;
        this.book = book;
        this.route = route;
    }

    @Override
    public Answer health() {
        if (farewell.leaving()) {
            return new Answer(Kind.NOT_NOW, "not ready: leaving");
        }
        if (farewell.quiet()) {
            return new Answer(Kind.NOT_NOW, "not ready: quiesced");
        }
        if (route.members(false) == 0) {
            return new Answer(Kind.NOT_NOW, "not ready: no list of backends yet");
        }
        return Answer.yes("ready");
    }

    @Override
    public Answer stats() {
        return Answer.yes(Figures.text(book, route));
    }

    @Override
    public Answer cordon(String server) {
        return leaveOut(server, true);
    }

    @Override
    public Answer uncordon(String server) {
        return leaveOut(server, false);
    }

    private Answer leaveOut(String server, boolean out) {
        if (!route.knows(server)) {
            return new Answer(Kind.UNKNOWN, "no backend " + server);
        }
        Set<String> servers = new TreeSet<>(route.cordoned());
        if (out ? servers.add(server) : servers.remove(server)) {
            route.cordon(servers);
        }
        return Answer.yes(server + (out ? " is left out" : " is back") + ", left out now: " + servers.size());
    }

    @Override
    public Answer quiesce() {
        if (farewell.leaving()) {
            return new Answer(Kind.NOT_NOW, "leaving already");
        }
        farewell.quiesce();
        return Answer.yes("clients are sent away, held " + book.held());
    }

    @Override
    public Answer resume() {
        if (farewell.leaving()) {
            return new Answer(Kind.NOT_NOW, "leaving, it does not come back");
        }
        farewell.resume();
        return Answer.yes("at work, held " + book.held());
    }
}
