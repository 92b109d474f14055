package org.mountlug.core.admit;

import org.mountlug.Constants;

/**
 * Computes how many writes per second to the state service submissions may cause, after what the leader itself needs.
 * Each admitted job causes further leader writes later, so what the leader leaves unused at the moment is not
 * sustainable. The sustainable rate therefore starts at the rate of jobs that the state service can take with the
 * minimum number of writes for each, grows by additive increase while the leader leaves enough capacity, and drops at
 * once when the leader leaves less than that rate.
 */
public final class AdmissionCapacity {
    private final double writesPerS;
    private final double maxLeaderWritesPerS;
    private double previousLeaderWrites;
    private double observedAtS = Double.NaN;
    private double leaderWritesPerS;
    private double sustainablePerS;
    private double capacityPerS;
    private double capacityHeldUntilS = Double.NEGATIVE_INFINITY;

    /**
     * Creates a capacity for a term in which the leader has written nothing yet.
     *
     * @param writesPerS writes per second that the state service accepts
     * @param maxLeaderWritesPerS upper limit of the leader's own writes per second
     */
    public AdmissionCapacity(double writesPerS, double maxLeaderWritesPerS) {
        this.writesPerS = writesPerS;
        this.maxLeaderWritesPerS = maxLeaderWritesPerS;
        sustainablePerS = minSustainablePerS();
        capacityPerS = sustainablePerS;
    }

    /**
     * Updates the sustainable rate from the leader's writes.
     *
     * @param leaderWrites writes that the leader has made since its term began
     * @param anyQueueLimited whether any queue is limited; if none is, the sustainable rate is reset to its minimum
     * @param nowS monotonic seconds
     */
    public void observeLeaderWrites(double leaderWrites, boolean anyQueueLimited, double nowS) {
        double elapsedS = Double.isNaN(observedAtS) ? 1 : Math.max(0.1, nowS - observedAtS);
        double weight = 1 - Math.exp(-elapsedS / Constants.Admission.LEADER_RATE_TIME_CONSTANT_S);
        leaderWritesPerS += weight * ((leaderWrites - previousLeaderWrites) / elapsedS - leaderWritesPerS);
        observedAtS = nowS;
        previousLeaderWrites = leaderWrites;
        if (!anyQueueLimited || availablePerS() < sustainablePerS) {
            sustainablePerS = anyQueueLimited ? Math.max(minSustainablePerS(), availablePerS()) : minSustainablePerS();
        } else if (availablePerS() > sustainablePerS * Constants.Admission.RATE_GROWTH_HEADROOM_FACTOR) {
            double increasedPerS = sustainablePerS + writesPerS * Constants.Admission.RATE_GROWTH_SHARE * elapsedS;
            sustainablePerS = Math.min(increasedPerS, maxSustainablePerS());
        }
        updateCapacity(nowS);
    }

    /** Resumes with the capacity that an earlier leader published. */
    public void restore(double publishedCapacityPerS, double nowS) {
        sustainablePerS = Math.max(minSustainablePerS(), Math.min(publishedCapacityPerS, maxSustainablePerS()));
        updateCapacity(nowS);
    }

    /**
     * Raises the capacity at once, but lowers it only after the sustainable rate has stayed below it for a schedule
     * horizon, because turns already announced at the higher rate are still to come.
     */
    private void updateCapacity(double nowS) {
        if (sustainablePerS >= capacityPerS) {
            capacityHeldUntilS = nowS + Constants.Admission.SCHEDULE_HORIZON_MS / 1000.0;
            capacityPerS = sustainablePerS;
        } else if (nowS >= capacityHeldUntilS) {
            capacityPerS = sustainablePerS;
        }
    }

    /**
     * Returns the writes per second that submissions may cause: the sustainable rate, or the higher one at which turns
     * still to come were scheduled.
     */
    public double capacityPerS() {
        return capacityPerS;
    }

    /**
     * Returns the writes per second that the leader is expected to leave to submissions; at least the share that is
     * always reserved for them.
     */
    private double availablePerS() {
        double expectedLeaderWritesPerS =
                Math.min(maxLeaderWritesPerS, leaderWritesPerS * Constants.Admission.LEADER_HEADROOM_FACTOR);
        return Math.max(
                writesPerS * Constants.Admission.MIN_SUBMISSION_SHARE,
                writesPerS * Constants.Admission.PLANNED_SHARE - expectedLeaderWritesPerS);
    }

    /**
     * Returns the submissions per second that can be admitted in the long run; a submission causes one write when it
     * is admitted.
     */
    public double sustainablePerS() {
        return sustainablePerS;
    }

    private double maxSustainablePerS() {
        return minSustainablePerS() * Constants.Admission.MAX_RATE_GROWTH_FACTOR;
    }

    private double minSustainablePerS() {
        return writesPerS * Constants.Admission.PLANNED_SHARE / (1 + Constants.Admission.MIN_WRITES_PER_JOB);
    }
}
