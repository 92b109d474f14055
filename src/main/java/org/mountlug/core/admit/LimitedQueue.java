package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * A queue that is asked for more than its part: its cursor moves at the pace at which it meets as many submissions as may be
 * admitted. Its schedule is extended a fixed time ahead, so a change of pace takes effect that much later.
 */
final class LimitedQueue {
    private static final double LAPS_A_STEP_MOST = CursorSchedule.STEP_MS / (double) Constants.Admission.GRACE_MS;

    private final double sinceS;
    private final ArrivalRate rate;
    private CursorSchedule schedule;
    private double contentSinceS = Double.NaN;

    private LimitedQueue(double sinceS, ArrivalRate rate, CursorSchedule schedule) {
        this.sinceS = sinceS;
        this.rate = rate;
        this.schedule = schedule;
    }

    /**
     * A queue that is limited from now on. As nothing was met by its cursor yet, its first schedule is forecast from how often
     * it is asked.
     */
    static LimitedQueue starting(double admittedPerS, double askedPerS, long nowMs, double nowS) {
        double stepS = CursorSchedule.STEP_MS / 1000.0;
        long firstMs = Math.floorDiv(nowMs, CursorSchedule.STEP_MS) * CursorSchedule.STEP_MS;
        int steps =
                (int) Math.ceil((nowMs + Constants.Admission.HORIZON_MS - firstMs) / (double) CursorSchedule.STEP_MS);
        long[] advances = new long[steps];
        for (int step = 0; step < steps; step++) {
            double perLap = Math.max(1, askedPerS * presentS((step + 0.5) * stepS));
            advances[step] = places(admittedPerS / perLap * stepS);
        }
        return new LimitedQueue(nowS, new ArrivalRate(askedPerS), CursorSchedule.starting(nowMs, advances));
    }

    /**
     * Seconds' worth of a lasting flood that a cursor would meet on a lap: those who wait, ever more until the first give up,
     * and those who come for the first time while their turn lasts.
     */
    private static double presentS(double ageS) {
        double waitingS = Constants.Admission.ONSET_S + Math.min(ageS, Constants.Admission.PATIENCE_S);
        return waitingS + Math.min(ageS, Constants.Admission.GRACE_MS / 1000.0);
    }

    /** A queue that an earlier leader limited, for how long is not known; its pace tells what that leader reckoned with. */
    static LimitedQueue restored(CursorSchedule schedule, double admittedPerS, double nowS) {
        double lapsPerS = schedule.lastAdvance() / (double) HashRing.LAP / (CursorSchedule.STEP_MS / 1000.0);
        double perLap = admittedPerS / Math.max(lapsPerS, Constants.Admission.SLOWEST_LAPS_PER_S);
        double sinceS = nowS - Constants.Admission.PATIENCE_S;
        ArrivalRate guess = new ArrivalRate(Math.max(1, perLap) / presentS(Constants.Admission.PATIENCE_S));
        return new LimitedQueue(sinceS, guess, schedule);
    }

    CursorSchedule schedule() {
        return schedule;
    }

    /** Takes in how many submissions were met at their turn in the time that has passed. */
    void observe(double submissions, long fromMs, long toMs, double nowS) {
        if (nowS - sinceS < Constants.Admission.SETTLED_S) {
            return; // controllers counted what came to the open queue
        }
        double laps = (schedule.positionAt(toMs) - schedule.positionAt(fromMs)) / (double) HashRing.LAP;
        rate.observe(submissions, laps * presentS(nowS - sinceS), (toMs - fromMs) / 1000.0);
    }

    /** Extends the schedule so that so many submissions a second will have their turn. */
    void extend(double admittedPerS, double askedPerS, long nowMs, double nowS) {
        double ahead = askedPerS <= admittedPerS ? 0 : Constants.Admission.HORIZON_MS / 1000.0;
        double perLap = Math.max(1, rate.perS() * presentS(nowS - sinceS + ahead));
        schedule = schedule.extended(
                nowMs,
                nowMs + Constants.Admission.HORIZON_MS,
                places(admittedPerS / perLap * CursorSchedule.STEP_MS / 1000.0),
                Constants.Admission.GRACE_MS + Constants.Admission.KEPT_MS);
    }

    /** Whether so little has been asked for a while that a limit is not needed any more. */
    boolean content(double admittedPerS, double askedPerS, double nowS) {
        boolean little = askedPerS <= admittedPerS * Constants.Admission.CONTENT_SHARE;
        boolean drained =
                rate.perS() * presentS(nowS - sinceS) <= admittedPerS * Constants.Admission.HORIZON_MS / 1000.0;
        if (!little || !drained) {
            contentSinceS = Double.NaN;
            return false;
        }
        if (Double.isNaN(contentSinceS)) {
            contentSinceS = nowS;
        }
        return nowS - contentSinceS >= Constants.Admission.CONTENT_S;
    }

    private static long places(double lapsInStep) {
        return Math.round(Math.min(lapsInStep, LAPS_A_STEP_MOST) * HashRing.LAP);
    }
}
