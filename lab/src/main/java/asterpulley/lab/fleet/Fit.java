package asterpulley.lab.fleet;

/**
 * A straight line through measured points by least squares, with the standard error of its slope.
 * Without input or output.
 */
record Fit(double slope, double error, double at0) {
    /**
     * The error is NaN where two points leave nothing to err by; all is NaN where the points don't
     * differ.
     */
    static Fit line(double[] x, double[] y) {
        int n = x.length;
        double mx = 0;
        double my = 0;
        for (int i = 0; i < n; i++) {
            mx += x[i] / n;
            my += y[i] / n;
        }
        double xx = 0;
        double xy = 0;
        for (int i = 0; i < n; i++) {
            xx += (x[i] - mx) * (x[i] - mx);
            xy += (x[i] - mx) * (y[i] - my);
        }
        if (n < 2 || xx == 0) {
            return new Fit(Double.NaN, Double.NaN, Double.NaN);
        }
        double slope = xy / xx;
        double left = 0;
        for (int i = 0; i < n; i++) {
            double off = y[i] - my - slope * (x[i] - mx);
            left += off * off;
        }
        return new Fit(slope, n > 2 ? Math.sqrt(left / (n - 2) / xx) : Double.NaN, my - slope * mx);
    }
}
