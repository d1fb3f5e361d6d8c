package asterpulley.door;

/**
 * What the operators' calls ask of a relay. A yes is given only after the thing is so; a no changes
 * nothing.
 */
public interface Desk {
    /** What a call is told: a yes or one of the ways of no, and a plain line, or the figures. */
    record Answer(Kind kind, String text) {
        public boolean yes() {
            return kind == Kind.YES;
        }

        public static Answer yes(String text) {
            return new Answer(Kind.YES, text);
        }
    }

    enum Kind {
        YES,
        NOT_NOW,
        UNKNOWN,
        FAILED
    }

    Answer health();

    Answer stats();

    Answer settings();

    Answer cordon(String server);

    Answer uncordon(String server);

    Answer quiesce();

    Answer resume();
}
