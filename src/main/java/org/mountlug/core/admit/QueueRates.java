package org.mountlug.core.admit;

import org.mountlug.Constants;

/** The rates of a queue's submissions at all controllers together, smoothed over a few seconds. */
final class QueueRates {
    private double pendingSubmissions;
    private double pendingArrivals;
    private double pendingThrottled;
    private double submissionsPerS;
    private double intervalSubmissionsPerS;
    private boolean throttledInPreviousInterval;
    private boolean throttledInLatestInterval;
    private double intervalArrivals;

    /** Adds what a controller has counted since its counts were last received. */
    void add(QueueDemand counted) {
        pendingSubmissions += counted.submissions();
        pendingArrivals += counted.arrivals();
        pendingThrottled += counted.throttled();
    }

    /**
     * Closes the interval since the last call and updates the rates.
     *
     * @param extrapolationFactor ratio of the submissions at all controllers to those at controllers with recent
     *     counts
     * @param elapsedS length of the interval in seconds
     */
    void closeInterval(double extrapolationFactor, double elapsedS) {
        double weight = 1 - Math.exp(-elapsedS / Constants.Admission.RATE_TIME_CONSTANT_S);
        submissionsPerS += weight * (pendingSubmissions * extrapolationFactor / elapsedS - submissionsPerS);
        intervalSubmissionsPerS = pendingSubmissions * extrapolationFactor / elapsedS;
        throttledInPreviousInterval = throttledInLatestInterval;
        throttledInLatestInterval = pendingThrottled > 0;
        intervalArrivals = pendingArrivals * extrapolationFactor;
        pendingSubmissions = 0;
        pendingArrivals = 0;
        pendingThrottled = 0;
    }

    double submissionsPerS() {
        return submissionsPerS;
    }

    /** Returns the submissions per second in the latest closed interval, or the smoothed rate if that is higher. */
    double latestSubmissionsPerS() {
        return Math.max(submissionsPerS, intervalSubmissionsPerS);
    }

    /**
     * Whether submissions were throttled in each of the last two intervals, which shows that the flood lasted for the
     * whole of the latest one.
     */
    boolean throttledInLastTwoIntervals() {
        return throttledInPreviousInterval && throttledInLatestInterval;
    }

    /** Returns the arrivals in the latest closed interval. */
    double arrivals() {
        return intervalArrivals;
    }

    /** Whether the queue has received almost no submissions recently. */
    boolean isIdle() {
        return submissionsPerS < Constants.Admission.IDLE_RATE_PER_S;
    }
}
