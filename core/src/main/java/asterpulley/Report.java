package asterpulley;

/** A server's load report; a figure that did not come is NaN. */
public final class Report {
    public double load = Double.NaN;
    public double busy = Double.NaN;
    public double held = Double.NaN;
    public double errors = Double.NaN;
}
