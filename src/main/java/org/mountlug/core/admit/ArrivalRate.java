package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * How many new submissions come to a limited queue a second, measured by how many its cursor meets. How often controllers are
 * asked tells less: users come again as often as they like.
 */
final class ArrivalRate {
    private final double guessPerS;
    private double met;
    private double exposureS;

    /** @param guessPerS submissions a second as far as they are known before any was met */
    ArrivalRate(double guessPerS) {
        this.guessPerS = Math.max(Constants.Admission.IDLE_RATE_PER_S, guessPerS);
    }

    /**
     * Takes in what the cursor met.
     *
     * @param submissions how many it met
     * @param exposedS the part of a lap that it passed, times the seconds' worth of arrivals that are on the ring
     * @param elapsedS seconds that it took
     */
    void observe(double submissions, double exposedS, double elapsedS) {
        double kept = Math.exp(-elapsedS / Constants.Admission.ARRIVAL_TIME_CONSTANT_S);
        met = met * kept + submissions;
        exposureS = exposureS * kept + exposedS;
    }

    /** New submissions a second; the guess counts as much as a few that were met. */
    double perS() {
        double credit = Constants.Admission.ARRIVAL_PRIOR_WEIGHT;
        return (met + credit) / (exposureS + credit / guessPerS);
    }
}
