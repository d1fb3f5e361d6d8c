package asterpulley.lab.fleet;

/**
 * A least-squares line through measured points, with the standard error of its slope. Does no input
 * or output.
 */
record LinearFit(double slope, double standardError, double intercept) {
    /**
     * Fits a line. The error is NaN for fewer than three points; everything is NaN if all {@code x}
     * are equal.
     */
    static LinearFit fit(double[] x, double[] y) {
        int n = x.length;
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < n; i++) {
            meanX += x[i] / n;
            meanY += y[i] / n;
        }
        double sumXx = 0;
        double sumXy = 0;
        for (int i = 0; i < n; i++) {
            sumXx += (x[i] - meanX) * (x[i] - meanX);
            sumXy += (x[i] - meanX) * (y[i] - meanY);
        }
        if (n < 2 || sumXx == 0) {
            return new LinearFit(Double.NaN, Double.NaN, Double.NaN);
        }
        double slope = sumXy / sumXx;
        double residualSquares = 0;
        for (int i = 0; i < n; i++) {
            double residual = y[i] - meanY - slope * (x[i] - meanX);
            residualSquares += residual * residual;
        }
        return new LinearFit(
                slope,
                n > 2 ? Math.sqrt(residualSquares / (n - 2) / sumXx) : Double.NaN,
                meanY - slope * meanX);
    }
}
