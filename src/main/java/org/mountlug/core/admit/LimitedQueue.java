package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * A queue that receives more submissions than its share. Its cursor moves at the rate at which it passes as many
 * submissions as may be admitted. Its schedule is extended a fixed time ahead, so a change of rate takes effect that
 * much later.
 */
final class LimitedQueue {
    /** A lap takes at least as long as a turn. */
    private static final double MAX_LAPS_PER_STEP =
            CursorSchedule.STEP_MS / (double) Constants.Admission.TURN_DURATION_MS;

    private static final long NOT_RELEASABLE = -1;

    /**
     * Epoch milliseconds before which arrivals are ignored: until then some controllers still count as for a queue
     * without a limit, or a new leader has not received the counts of all controllers.
     */
    private final long countsFromMs;

    private final ArrivalRate arrivalRate;
    private CursorSchedule schedule;
    private long releasableSinceMs = NOT_RELEASABLE;

    private LimitedQueue(ArrivalRate arrivalRate, CursorSchedule schedule, long nowMs) {
        this.countsFromMs = nowMs + Constants.Admission.LIMIT_PROPAGATION_MS;
        this.arrivalRate = arrivalRate;
        this.schedule = schedule;
    }

    /**
     * Creates a queue that is limited from now on. As its cursor has passed no submissions yet, its first schedule is
     * forecast from the rate of submissions.
     *
     * @param admittedPerS submissions per second that may be admitted
     * @param submissionsPerS submissions per second, repetitions included
     * @param nowMs epoch milliseconds
     */
    static LimitedQueue starting(double admittedPerS, double submissionsPerS, long nowMs) {
        double stepS = CursorSchedule.STEP_MS / 1000.0;
        long firstStepMs = Math.floorDiv(nowMs, CursorSchedule.STEP_MS) * CursorSchedule.STEP_MS;
        int steps = (int) Math.ceil(
                (nowMs + Constants.Admission.SCHEDULE_HORIZON_MS - firstStepMs) / (double) CursorSchedule.STEP_MS);
        long[] advances = new long[steps];
        for (int step = 0; step < steps; step++) {
            double submissionsPerLap = Math.max(1, submissionsPerS * outstandingS((step + 0.5) * stepS));
            advances[step] = slotsToAdvance(admittedPerS / submissionsPerLap * stepS);
        }
        return new LimitedQueue(new ArrivalRate(submissionsPerS), CursorSchedule.starting(nowMs, advances), nowMs);
    }

    /**
     * Returns the submissions that the cursor would pass on a lap during a steady flood, as seconds' worth of new
     * submissions: those that wait, increasing until the first users give up, and those that are new while their turn
     * lasts.
     *
     * @param ageS seconds since the cursor began to move
     */
    private static double outstandingS(double ageS) {
        return waitingS(ageS) + Math.min(ageS, Constants.Admission.TURN_DURATION_MS / 1000.0);
    }

    /**
     * Returns the submissions that controllers would count as arrivals on a lap during a steady flood, as seconds'
     * worth of new submissions: those that wait, and of the new ones only those within a short time of their turn.
     *
     * @param ageS seconds since the cursor began to move
     */
    private static double countableS(double ageS) {
        return waitingS(ageS) + Math.min(ageS, Constants.Admission.FIRST_ARRIVAL_WINDOW_MS / 1000.0);
    }

    private static double waitingS(double ageS) {
        return Constants.Admission.FLOOD_ONSET_S + Math.min(ageS, Constants.Admission.USER_GIVE_UP_S);
    }

    /**
     * Creates a queue from the schedule of an earlier leader; the arrival rate which that leader assumed is derived
     * from the pace of the cursor.
     */
    static LimitedQueue restored(CursorSchedule schedule, double admittedPerS, long nowMs) {
        double lapsPerS = schedule.lastStepAdvance() / (double) HashRing.SLOTS / (CursorSchedule.STEP_MS / 1000.0);
        double submissionsPerLap = admittedPerS / Math.max(lapsPerS, Constants.Admission.MIN_LAPS_PER_S);
        double ageS = ageS(schedule, schedule.endMs());
        return new LimitedQueue(new ArrivalRate(Math.max(1, submissionsPerLap) / outstandingS(ageS)), schedule, nowMs);
    }

    private static double ageS(CursorSchedule schedule, long epochMs) {
        return Math.max(0, (epochMs - schedule.startedMs()) / 1000.0);
    }

    CursorSchedule schedule() {
        return schedule;
    }

    /** Records how many submissions arrived at their turn between two times. */
    void observe(double arrivals, long fromMs, long toMs) {
        if (toMs < countsFromMs) {
            return;
        }
        double ageS = ageS(schedule, toMs);
        double laps = (schedule.positionAt(toMs) - schedule.positionAt(fromMs)) / (double) HashRing.SLOTS;
        arrivalRate.observe(arrivals, laps * countableS(ageS), (toMs - fromMs) / 1000.0);
    }

    /** Extends the schedule so that {@code admittedPerS} submissions per second have their turn. */
    void extend(double admittedPerS, double submissionsPerS, long nowMs) {
        double lookaheadS = submissionsPerS <= admittedPerS ? 0 : Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0;
        double submissionsPerLap = Math.max(1, arrivalRate.perS() * outstandingS(ageS(schedule, nowMs) + lookaheadS));
        schedule = schedule.extended(
                nowMs,
                nowMs + Constants.Admission.SCHEDULE_HORIZON_MS,
                slotsToAdvance(admittedPerS / submissionsPerLap * CursorSchedule.STEP_MS / 1000.0),
                Constants.Admission.TURN_DURATION_MS + Constants.Admission.SCHEDULE_RETENTION_MS);
    }

    /** Whether demand and backlog have been low for long enough that the queue needs no limit any more. */
    boolean isReleasable(double admittedPerS, double submissionsPerS, long nowMs) {
        boolean isDemandLow = submissionsPerS <= admittedPerS * Constants.Admission.RELEASE_SHARE;
        boolean isBacklogSmall = arrivalRate.perS() * outstandingS(ageS(schedule, nowMs))
                <= admittedPerS * Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0;
        if (!isDemandLow || !isBacklogSmall) {
            releasableSinceMs = NOT_RELEASABLE;
            return false;
        }
        if (releasableSinceMs == NOT_RELEASABLE) {
            releasableSinceMs = nowMs;
        }
        return nowMs - releasableSinceMs >= Constants.Admission.RELEASE_AFTER_MS;
    }

    private static long slotsToAdvance(double lapsInStep) {
        return Math.round(Math.min(lapsInStep, MAX_LAPS_PER_STEP) * HashRing.SLOTS);
    }
}
