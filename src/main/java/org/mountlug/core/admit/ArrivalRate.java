package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * Estimates how many new submissions a second a limited queue receives, from how many its cursor passes. The rate of
 * all submissions says less, as users repeat them as often as they like.
 */
final class ArrivalRate {
    private final double priorPerS;
    private double decayedArrivals;
    private double decayedExposureS;

    /** @param priorPerS estimated submissions per second before any were counted */
    ArrivalRate(double priorPerS) {
        this.priorPerS = Math.max(Constants.Admission.IDLE_RATE_PER_S, priorPerS);
    }

    /**
     * Records the submissions that the cursor passed in an interval.
     *
     * @param arrivals how many submissions the cursor passed
     * @param exposureS laps that the cursor moved, times the submissions that a lap holds, given as the seconds in
     *     which as many new ones are received; {@code arrivals / exposureS} estimates the rate
     * @param elapsedS length of the interval in seconds
     */
    void observe(double arrivals, double exposureS, double elapsedS) {
        double retainedShare = Math.exp(-elapsedS / Constants.Admission.ARRIVAL_TIME_CONSTANT_S);
        decayedArrivals = decayedArrivals * retainedShare + arrivals;
        decayedExposureS = decayedExposureS * retainedShare + exposureS;
    }

    /**
     * Returns the estimated new submissions per second; the prior estimate has the weight of a few counted
     * submissions.
     */
    double perS() {
        double priorWeight = Constants.Admission.ARRIVAL_PRIOR_WEIGHT;
        return (decayedArrivals + priorWeight) / (decayedExposureS + priorWeight / priorPerS);
    }
}
