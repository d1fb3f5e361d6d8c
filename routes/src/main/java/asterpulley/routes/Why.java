package asterpulley.routes;

/**
 * Why a server is open to a tunnel or not, as far as routes and limits have a say; the load factor
 * decides the rest.
 */
public enum Why {
    OPEN("open"),
    LATER_TURN("its pool's turn has not come: one that is preferred has room"),
    POOL_DARK("its pool is dark"),
    POOL_UNLISTED("the list names nobody of its pool"),
    POOL_OVERLOADED("its pool is overloaded, and takes no guests"),
    GUESTS_FULL("guests hold all that they may of its pool"),
    GUESTS_KEPT("what is left for guests of its pool is kept for other profiles"),
    GUESTS_RATE("guests come to its pool as fast as they may"),
    NEAR_FULL("it is too full for guests"),
    KEPT("what is left of it is kept for profiles of more credit"),
    RETRIES_SPENT("the budget for further setups is spent"),
    UNKNOWN("the list does not name it");

    public final String text;

    Why(String text) {
        this.text = text;
    }
}
