package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * How many changes a second submissions may cost, beside what the leader itself needs. Every job that is taken in costs the
 * leader further changes, but later: what it leaves at the moment is no pace that can last. So the lasting pace begins at what
 * the leader can work off at once, grows by additive increase while the leader leaves more, and falls at once when it does not.
 */
public final class AdmissionCapacity {
    private final double changesPerS;
    private final double leaderMostPerS;
    private double takenBefore;
    private double observedS = Double.NaN;
    private double neededPerS;
    private double sustainablePerS;
    private double capacityPerS;
    private double heldUntilS = Double.NEGATIVE_INFINITY;

    /**
     * A budget of which nothing has been used yet.
     *
     * @param changesPerS changes a second that the state service takes
     * @param leaderMostPerS changes a second that the leader uses at the most
     */
    public AdmissionCapacity(double changesPerS, double leaderMostPerS) {
        this.changesPerS = changesPerS;
        this.leaderMostPerS = leaderMostPerS;
        sustainablePerS = leastLastingPerS();
        capacityPerS = sustainablePerS;
    }

    /**
     * Takes in how many changes the leader has made since its term began.
     *
     * @param limiting whether any queue is limited; without a flood the lasting pace is the least one
     */
    public void observeLeaderWrites(double taken, boolean limiting, double nowS) {
        double elapsedS = Double.isNaN(observedS) ? 1 : Math.max(0.1, nowS - observedS);
        double weight = 1 - Math.exp(-elapsedS / Constants.Admission.LEADER_RATE_TIME_CONSTANT_S);
        neededPerS += weight * ((taken - takenBefore) / elapsedS - neededPerS);
        observedS = nowS;
        takenBefore = taken;
        if (!limiting || leftPerS() < sustainablePerS) {
            sustainablePerS = limiting ? Math.max(leastLastingPerS(), leftPerS()) : leastLastingPerS();
        } else if (leftPerS() > sustainablePerS * Constants.Admission.RATE_GROWTH_HEADROOM_FACTOR) {
            double grown = sustainablePerS + changesPerS * Constants.Admission.RATE_GROWTH_SHARE * elapsedS;
            sustainablePerS = Math.min(grown, mostLastingPerS());
        }
        holdCapacity(nowS);
    }

    /** Goes on with the capacity that an earlier leader published. */
    public void restore(double publishedPerS, double nowS) {
        sustainablePerS = Math.max(leastLastingPerS(), Math.min(publishedPerS, mostLastingPerS()));
        holdCapacity(nowS);
    }

    /** Turns that were told at the pace of a moment ago are still to come. */
    private void holdCapacity(double nowS) {
        if (sustainablePerS >= capacityPerS) {
            heldUntilS = nowS + Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0;
            capacityPerS = sustainablePerS;
        } else if (nowS >= heldUntilS) {
            capacityPerS = sustainablePerS;
        }
    }

    /** Changes a second that submissions may cost at the moment: at the lasting pace, and at that of the turns to come. */
    public double capacityPerS() {
        return capacityPerS;
    }

    /** Changes a second that the leader leaves at the moment, and never less than what it leaves at the most. */
    private double leftPerS() {
        double leader = Math.min(leaderMostPerS, neededPerS * Constants.Admission.LEADER_HEADROOM_FACTOR);
        return Math.max(
                changesPerS * Constants.Admission.MIN_SUBMISSION_SHARE,
                changesPerS * Constants.Admission.PLANNED_SHARE - leader);
    }

    /** Submissions a second that may be admitted for long; one costs one change. */
    public double sustainablePerS() {
        return sustainablePerS;
    }

    private double mostLastingPerS() {
        return leastLastingPerS() * Constants.Admission.MAX_RATE_GROWTH_FACTOR;
    }

    private double leastLastingPerS() {
        return changesPerS * Constants.Admission.PLANNED_SHARE / (1 + Constants.Admission.MIN_WRITES_PER_JOB);
    }
}
