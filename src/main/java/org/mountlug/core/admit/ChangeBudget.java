package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * How many changes a second submissions may cost, beside what the leader itself needs. Every job that is taken in costs the
 * leader further changes, but later: what it leaves at the moment is no pace that can last. So the lasting pace begins at what
 * the leader can work off at once, grows by additive increase while the leader leaves more, and falls at once when it does not.
 */
public final class ChangeBudget {
    private final double changesPerS;
    private final double leaderMostPerS;
    private double takenBefore;
    private double observedS = Double.NaN;
    private double neededPerS;
    private double lastingPerS;
    private double capacityPerS;
    private double heldUntilS = Double.NEGATIVE_INFINITY;

    /**
     * A budget of which nothing has been used yet.
     *
     * @param changesPerS changes a second that the state service takes
     * @param leaderMostPerS changes a second that the leader uses at the most
     */
    public ChangeBudget(double changesPerS, double leaderMostPerS) {
        this.changesPerS = changesPerS;
        this.leaderMostPerS = leaderMostPerS;
        lastingPerS = leastLastingPerS();
        capacityPerS = lastingPerS;
    }

    /**
     * Takes in how many changes the leader has made since its term began.
     *
     * @param limiting whether any queue is limited; without a flood the lasting pace is the least one
     */
    public void observe(double taken, boolean limiting, double nowS) {
        double elapsedS = Double.isNaN(observedS) ? 1 : Math.max(0.1, nowS - observedS);
        double weight = 1 - Math.exp(-elapsedS / Constants.Admission.LEADER_MEMORY_S);
        neededPerS += weight * ((taken - takenBefore) / elapsedS - neededPerS);
        observedS = nowS;
        takenBefore = taken;
        if (!limiting || leftPerS() < lastingPerS) {
            lastingPerS = limiting ? Math.max(leastLastingPerS(), leftPerS()) : leastLastingPerS();
        } else if (leftPerS() > lastingPerS * Constants.Admission.GROWTH_ROOM) {
            double grown = lastingPerS + changesPerS * Constants.Admission.GROWTH_SHARE * elapsedS;
            lastingPerS = Math.min(grown, mostLastingPerS());
        }
        holdCapacity(nowS);
    }

    /** Goes on with the capacity that an earlier leader published. */
    public void restore(double publishedPerS, double nowS) {
        lastingPerS = Math.max(leastLastingPerS(), Math.min(publishedPerS, mostLastingPerS()));
        holdCapacity(nowS);
    }

    /** Turns that were told at the pace of a moment ago are still to come. */
    private void holdCapacity(double nowS) {
        if (lastingPerS >= capacityPerS) {
            heldUntilS = nowS + Constants.Admission.HORIZON_MS / 1000.0;
            capacityPerS = lastingPerS;
        } else if (nowS >= heldUntilS) {
            capacityPerS = lastingPerS;
        }
    }

    /** Changes a second that submissions may cost at the moment: at the lasting pace, and at that of the turns to come. */
    public double capacityPerS() {
        return capacityPerS;
    }

    /** Changes a second that the leader leaves at the moment, and never less than what it leaves at the most. */
    private double leftPerS() {
        double leader = Math.min(leaderMostPerS, neededPerS * Constants.Admission.LEADER_GROWTH);
        return Math.max(
                changesPerS * Constants.Admission.LEAST_SHARE,
                changesPerS * Constants.Admission.PLANNED_SHARE - leader);
    }

    /** Submissions a second that may be admitted for long; one costs one change. */
    public double lastingPerS() {
        return lastingPerS;
    }

    private double mostLastingPerS() {
        return leastLastingPerS() * Constants.Admission.GROWTH_MOST;
    }

    private double leastLastingPerS() {
        return changesPerS * Constants.Admission.PLANNED_SHARE / (1 + Constants.Admission.CHANGES_A_JOB);
    }
}
