package org.mountlug.core.admit;

import java.util.List;
import java.util.Map;
import org.mountlug.Constants;

/**
 * Decides submissions at one controller by the table that the leader has published. In a limited queue a submission is
 * considered only during its turn, a time that every controller computes alike from the queue's
 * {@link CursorSchedule}. Token buckets keep this controller within its part of the writes per second, both before the
 * leader has learned of a flood and whenever more submissions have their turn at the same time than the capacity
 * allows.
 */
public final class AdmissionGate {
    /**
     * The deployment that a gate belongs to.
     *
     * @param teamWeights the weight of each team
     * @param controllerCount how many controllers divide the capacity
     * @param writesPerS writes per second that the state service accepts
     * @param maxClockSkewMs the most by which a controller's clock differs from the true time
     */
    public record Deployment(
            Map<String, Double> teamWeights, int controllerCount, double writesPerS, double maxClockSkewMs) {}

    private final AdmissionSettings settings;
    private final Deployment deployment;
    private final DemandCounter demandCounter = new DemandCounter();
    private final TeamTokenBuckets buckets;
    private AdmissionTable table = AdmissionTable.empty();
    private double tableConfirmedAtS = Double.NEGATIVE_INFINITY;
    private double rateLimitedAtS = Double.NEGATIVE_INFINITY;

    /** Creates a gate without a table; it decides nothing before the first one arrives. */
    public AdmissionGate(AdmissionSettings settings, Deployment deployment) {
        this.settings = settings;
        this.deployment = deployment;
        buckets = new TeamTokenBuckets(
                deployment.teamWeights(),
                unlimitedRatePerS(0),
                Constants.Admission.BURST_S,
                Constants.Admission.MIN_BURST_TOKENS);
    }

    /**
     * Records that the state service rejected a request because its rate limit was exceeded.
     *
     * @param atS monotonic seconds
     */
    public void recordStateRateLimit(double atS) {
        rateLimitedAtS = Math.max(rateLimitedAtS, atS);
    }

    /**
     * Replaces the table by the one read from the state service.
     *
     * @param atS monotonic seconds at which the table is known to have been current
     */
    public void updateTable(AdmissionTable published, double atS) {
        table = published;
        tableConfirmedAtS = Math.max(tableConfirmedAtS, atS);
    }

    /**
     * Records that the table was still current.
     *
     * @param atS monotonic seconds
     */
    public void confirmTable(double atS) {
        tableConfirmedAtS = Math.max(tableConfirmedAtS, atS);
    }

    /** Returns the monotonic seconds at which the table was last known to be current. */
    public double tableConfirmedAtS() {
        return tableConfirmedAtS;
    }

    /** Returns the table by which submissions are decided. */
    public AdmissionTable table() {
        return table;
    }

    /** Returns the submissions counted for each queue at this controller, the busiest queue first. */
    public List<QueueDemand> demand() {
        return demandCounter.counts();
    }

    /**
     * Decides a submission.
     *
     * @param nowMs epoch milliseconds
     * @param nowS monotonic seconds
     */
    public AdmissionDecision decide(QueueId queue, String jobId, long nowMs, double nowS) {
        if (nowS - tableConfirmedAtS > settings.staleViewS()) {
            return new AdmissionDecision.RetryLater(
                    1 + HashRing.jitter(jobId, Constants.Admission.STALE_VIEW_RETRY_SPREAD_S));
        }
        demandCounter.recordSubmission(queue);
        CursorSchedule schedule = table.schedule(queue, nowMs);
        if (schedule != null && !hasTurn(schedule, HashRing.slotOf(jobId), nowMs)) {
            return defer(schedule, jobId, nowMs);
        }
        double ratePerS = ratePerS(nowMs, nowS);
        buckets.refill(ratePerS, nowS);
        double overdraft = schedule == null ? 0 : ratePerS * Constants.Admission.OVERDRAFT_S;
        if (schedule == null || isFirstArrival(schedule, jobId, nowMs)) {
            demandCounter.recordArrival(queue);
        }
        if (buckets.tryAcquire(queue, overdraft)) {
            return new AdmissionDecision.Admit();
        }
        demandCounter.recordThrottled(queue);
        int retryAfterS =
                schedule != null ? 1 : 1 + HashRing.jitter(jobId, Constants.Admission.UNDECIDED_RETRY_SPREAD_S);
        return new AdmissionDecision.RetryLater(retryAfterS);
    }

    /** Charges the write of a cancellation. A cancellation waits for no token; later submissions wait instead. */
    public void chargeCancellation(long nowMs, double nowS) {
        double ratePerS = ratePerS(nowMs, nowS);
        buckets.refill(ratePerS, nowS);
        buckets.charge(ratePerS);
    }

    /**
     * Returns twice the clock skew: the clock of the controller that announced a turn may be behind this one, or ahead
     * of it, by that much.
     */
    private long maxClockDifferenceMs() {
        return (long) Math.ceil(2 * deployment.maxClockSkewMs());
    }

    private boolean hasTurn(CursorSchedule schedule, int slot, long nowMs) {
        return schedule.passes(
                slot,
                nowMs - Constants.Admission.TURN_DURATION_MS - maxClockDifferenceMs(),
                nowMs + maxClockDifferenceMs());
    }

    /** Whether the turn began so recently that a submission rejected during it cannot have been repeated yet. */
    private boolean isFirstArrival(CursorSchedule schedule, String jobId, long nowMs) {
        return schedule.passes(
                HashRing.slotOf(jobId),
                nowMs - Constants.Admission.FIRST_ARRIVAL_WINDOW_MS,
                nowMs + maxClockDifferenceMs());
    }

    private AdmissionDecision defer(CursorSchedule schedule, String jobId, long nowMs) {
        long turnMs = schedule.nextTurnMs(HashRing.slotOf(jobId), nowMs + maxClockDifferenceMs());
        if (turnMs <= schedule.endMs()) {
            return new AdmissionDecision.Defer(wholeSeconds(turnMs - nowMs), turnMs, true);
        }
        return new AdmissionDecision.Defer(recheckAfterS(jobId, turnMs - nowMs), turnMs, false);
    }

    /**
     * Returns the seconds after which to repeat a submission whose turn may still move: well before that turn, and
     * spread over several seconds where the maximum applies.
     */
    private static int recheckAfterS(String jobId, long untilTurnMs) {
        int maxS = Constants.Admission.MAX_RETRY_AFTER_S
                - HashRing.jitter(jobId, Constants.Admission.RETRY_AFTER_SPREAD_S);
        long recheckMs = (long) Math.min(untilTurnMs * Constants.Admission.RECHECK_SHARE, maxS * 1000.0);
        return wholeSeconds(recheckMs);
    }

    private static int wholeSeconds(long ms) {
        return (int) Math.max(1, Math.ceil(ms / 1000.0));
    }

    /**
     * Returns this controller's writes per second for submissions while no queue is limited: a share above the
     * guaranteed minimum, unless the state service has rejected requests recently.
     */
    private double unlimitedRatePerS(double nowS) {
        boolean rateLimitedRecently = nowS - rateLimitedAtS < Constants.Admission.STATE_RATE_LIMIT_WINDOW_S;
        double share = rateLimitedRecently
                ? Constants.Admission.MIN_SUBMISSION_SHARE
                : Constants.Admission.UNLIMITED_QUEUES_SUBMISSION_SHARE;
        return deployment.writesPerS() * share / deployment.controllerCount();
    }

    /** Returns the writes per second that submissions at this controller may cause. */
    private double ratePerS(long nowMs, double nowS) {
        if (!table.limitsAnyQueue(nowMs)) {
            return unlimitedRatePerS(nowS);
        }
        return table.capacityPerS() / deployment.controllerCount();
    }
}
