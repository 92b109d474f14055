package org.mountlug.core.admit;

import org.mountlug.Constants;

/** How often a queue is asked at all controllers together, smoothed over a few seconds. */
final class QueueRates {
    private double asked;
    private double met;
    private double refused;
    private double submissionsPerS;
    private double askedInIntervalPerS;
    private boolean refusedBefore;
    private boolean refusedLately;
    private double metInInterval;

    /** Adds what a controller has counted since it was last heard. */
    void add(QueueDemand counted) {
        asked += counted.submissions();
        met += counted.arrivals();
        refused += counted.throttled();
    }

    /**
     * Closes the interval since the last call.
     *
     * @param factor by how much more was asked than was heard of
     */
    void closeInterval(double factor, double elapsedS) {
        double weight = 1 - Math.exp(-elapsedS / Constants.Admission.RATE_TIME_CONSTANT_S);
        submissionsPerS += weight * (asked * factor / elapsedS - submissionsPerS);
        askedInIntervalPerS = asked * factor / elapsedS;
        refusedBefore = refusedLately;
        refusedLately = refused > 0;
        metInInterval = met * factor;
        asked = 0;
        met = 0;
        refused = 0;
    }

    double submissionsPerS() {
        return submissionsPerS;
    }

    /** Submissions a second in the interval closed last, or the smoothed rate if that is higher. */
    double latestSubmissionsPerS() {
        return Math.max(submissionsPerS, askedInIntervalPerS);
    }

    /** Whether submissions were turned away in each of the last two intervals, so that the latest was flooded as a whole. */
    boolean throttledInLastTwoIntervals() {
        return refusedBefore && refusedLately;
    }

    /** Submissions that were met at their turn in the interval closed last. */
    double arrivals() {
        return metInInterval;
    }

    /** Whether hardly anything has been asked lately. */
    boolean isIdle() {
        return submissionsPerS < Constants.Admission.IDLE_RATE_PER_S;
    }
}
