package asterpulley.routes;

/**
 * Whether a server is open to a tunnel and, if not, why. Covers pools, limits and reserved shares;
 * among open servers the load factor decides.
 */
public enum RouteVerdict {
    OPEN("open"),
    LATER_TIER("its pool's turn has not come: one that is preferred has room"),
    POOL_UNAVAILABLE("its pool is dark"),
    POOL_UNLISTED("the list names nobody of its pool"),
    POOL_OVERLOADED("its pool is overloaded, and takes no guests"),
    SPILL_LIMIT_REACHED("guests hold all that they may of its pool"),
    SPILL_RESERVED("what is left for guests of its pool is kept for other profiles"),
    SPILL_RATE_REACHED("guests come to its pool as fast as they may"),
    TOO_LOADED_FOR_SPILL("it is too full for guests"),
    RESERVED("what is left of it is kept for profiles of more credit"),
    RETRY_BUDGET_SPENT("the budget for further setups is spent"),
    UNKNOWN_SERVER("the list does not name it");

    public final String text;

    RouteVerdict(String text) {
        this.text = text;
    }
}
