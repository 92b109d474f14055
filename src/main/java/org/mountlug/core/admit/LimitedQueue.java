package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * A queue that is asked for more than its part: its cursor moves at the pace at which it meets as many submissions as may be
 * admitted. Its schedule is extended a fixed time ahead, so a change of pace takes effect that much later.
 */
final class LimitedQueue {
    private static final double LAPS_A_STEP_MOST =
            CursorSchedule.STEP_MS / (double) Constants.Admission.TURN_DURATION_MS;

    private static final long NOT_CONTENT = -1;

    /** Before it, controllers counted what came to the open queue, or a new leader has not heard them all. */
    private final long countsFromMs;

    private final ArrivalRate rate;
    private CursorSchedule schedule;
    private long contentSinceMs = NOT_CONTENT;

    private LimitedQueue(ArrivalRate rate, CursorSchedule schedule, long nowMs) {
        this.countsFromMs = nowMs + Constants.Admission.LIMIT_PROPAGATION_MS;
        this.rate = rate;
        this.schedule = schedule;
    }

    /**
     * A queue that is limited from now on. As nothing was met by its cursor yet, its first schedule is forecast from how often
     * it is asked.
     */
    static LimitedQueue starting(double admittedPerS, double askedPerS, long nowMs) {
        double stepS = CursorSchedule.STEP_MS / 1000.0;
        long firstMs = Math.floorDiv(nowMs, CursorSchedule.STEP_MS) * CursorSchedule.STEP_MS;
        int steps = (int) Math.ceil(
                (nowMs + Constants.Admission.SCHEDULE_HORIZON_MS - firstMs) / (double) CursorSchedule.STEP_MS);
        long[] advances = new long[steps];
        for (int step = 0; step < steps; step++) {
            double perLap = Math.max(1, askedPerS * presentS((step + 0.5) * stepS));
            advances[step] = places(admittedPerS / perLap * stepS);
        }
        return new LimitedQueue(new ArrivalRate(askedPerS), CursorSchedule.starting(nowMs, advances), nowMs);
    }

    /**
     * Seconds' worth of a lasting flood that a cursor would meet on a lap: those who wait, ever more until the first give up,
     * and those who come for the first time while their turn lasts.
     */
    private static double presentS(double ageS) {
        return waitingS(ageS) + Math.min(ageS, Constants.Admission.TURN_DURATION_MS / 1000.0);
    }

    /** The same of those who are counted as met: of whoever comes for the first time, only who comes just at its turn. */
    private static double metS(double ageS) {
        return waitingS(ageS) + Math.min(ageS, Constants.Admission.FIRST_ARRIVAL_WINDOW_MS / 1000.0);
    }

    private static double waitingS(double ageS) {
        return Constants.Admission.FLOOD_ONSET_S + Math.min(ageS, Constants.Admission.USER_GIVE_UP_S);
    }

    /** A queue that an earlier leader limited; its pace tells what that leader reckoned with. */
    static LimitedQueue restored(CursorSchedule schedule, double admittedPerS, long nowMs) {
        double lapsPerS = schedule.lastStepAdvance() / (double) HashRing.SLOTS / (CursorSchedule.STEP_MS / 1000.0);
        double perLap = admittedPerS / Math.max(lapsPerS, Constants.Admission.MIN_LAPS_PER_S);
        double ageS = ageS(schedule, schedule.endMs());
        return new LimitedQueue(new ArrivalRate(Math.max(1, perLap) / presentS(ageS)), schedule, nowMs);
    }

    private static double ageS(CursorSchedule schedule, long epochMs) {
        return Math.max(0, (epochMs - schedule.startedMs()) / 1000.0);
    }

    CursorSchedule schedule() {
        return schedule;
    }

    /** Takes in how many submissions were met at their turn in the time that has passed. */
    void observe(double submissions, long fromMs, long toMs) {
        if (toMs < countsFromMs) {
            return;
        }
        double ageS = ageS(schedule, toMs);
        double laps = (schedule.positionAt(toMs) - schedule.positionAt(fromMs)) / (double) HashRing.SLOTS;
        rate.observe(submissions, laps * metS(ageS), (toMs - fromMs) / 1000.0);
    }

    /** Extends the schedule so that so many submissions a second will have their turn. */
    void extend(double admittedPerS, double askedPerS, long nowMs) {
        double ahead = askedPerS <= admittedPerS ? 0 : Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0;
        double perLap = Math.max(1, rate.perS() * presentS(ageS(schedule, nowMs) + ahead));
        schedule = schedule.extended(
                nowMs,
                nowMs + Constants.Admission.SCHEDULE_HORIZON_MS,
                places(admittedPerS / perLap * CursorSchedule.STEP_MS / 1000.0),
                Constants.Admission.TURN_DURATION_MS + Constants.Admission.SCHEDULE_RETENTION_MS);
    }

    /** Whether so little has been asked for a while that a limit is not needed any more. */
    boolean isReleasable(double admittedPerS, double askedPerS, long nowMs) {
        boolean little = askedPerS <= admittedPerS * Constants.Admission.RELEASE_SHARE;
        boolean drained = rate.perS() * presentS(ageS(schedule, nowMs))
                <= admittedPerS * Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0;
        if (!little || !drained) {
            contentSinceMs = NOT_CONTENT;
            return false;
        }
        if (contentSinceMs == NOT_CONTENT) {
            contentSinceMs = nowMs;
        }
        return nowMs - contentSinceMs >= Constants.Admission.RELEASE_AFTER_MS;
    }

    private static long places(double lapsInStep) {
        return Math.round(Math.min(lapsInStep, LAPS_A_STEP_MOST) * HashRing.SLOTS);
    }
}
