package org.mountlug.core.admit;

import java.util.List;
import java.util.Map;
import org.mountlug.Constants;

/**
 * Decides submissions at one controller by the table that the leader has published. In a limited queue the turn decides, which
 * every controller computes alike. The token buckets keep this controller within its part of the changes a second, until
 * the leader has heard of a flood and whenever more have their turn at once than there is room for.
 */
public final class AdmissionGate {
    /**
     * What a gate is built for.
     *
     * @param teamWeights the weight of each team
     * @param controllerCount how many controllers divide the capacity
     * @param writesPerS changes a second that the state service takes
     * @param maxClockSkewMs the most by which a controller's time of day differs from the true one
     */
    public record Deployment(
            Map<String, Double> teamWeights, int controllerCount, double writesPerS, double maxClockSkewMs) {}

    private final AdmissionSettings settings;
    private final Deployment deployment;
    private final DemandCounter meter = new DemandCounter();
    private final TeamTokenBuckets buckets;
    private AdmissionTable table = AdmissionTable.empty();
    private double tableConfirmedAtS = Double.NEGATIVE_INFINITY;
    private double refusedS = Double.NEGATIVE_INFINITY;

    /** A gate that has seen no table yet. */
    public AdmissionGate(AdmissionSettings settings, Deployment deployment) {
        this.settings = settings;
        this.deployment = deployment;
        buckets = new TeamTokenBuckets(
                deployment.teamWeights(),
                openRatePerS(0),
                Constants.Admission.BURST_S,
                Constants.Admission.MIN_BURST_TOKENS);
    }

    /** The state service has refused a request at this time, in steady seconds, as more was asked than it takes. */
    public void recordStateRateLimit(double atS) {
        refusedS = Math.max(refusedS, atS);
    }

    /** Takes in the table as the state service showed it at a time, in steady seconds. */
    public void updateTable(AdmissionTable published, double atS) {
        table = published;
        tableConfirmedAtS = Math.max(tableConfirmedAtS, atS);
    }

    /** The table was confirmed to be in force still. */
    public void confirmTable(double atS) {
        tableConfirmedAtS = Math.max(tableConfirmedAtS, atS);
    }

    /** Steady seconds at which the table was last known to be in force. */
    public double tableConfirmedAtS() {
        return tableConfirmedAtS;
    }

    /** The table that decides. */
    public AdmissionTable table() {
        return table;
    }

    /** What was asked of each queue here, the busiest first. */
    public List<QueueDemand> demand() {
        return meter.counts();
    }

    /**
     * Decides a submission.
     *
     * @param nowMs epoch milliseconds
     * @param nowS steady seconds
     */
    public AdmissionDecision decide(QueueId queue, String jobId, long nowMs, double nowS) {
        if (nowS - tableConfirmedAtS > settings.staleViewS()) {
            return new AdmissionDecision.RetryLater(
                    1 + HashRing.jitter(jobId, Constants.Admission.STALE_VIEW_RETRY_SPREAD_S));
        }
        meter.recordSubmission(queue);
        CursorSchedule schedule = table.schedule(queue, nowMs);
        if (schedule != null && !hasTurn(schedule, HashRing.slotOf(jobId), nowMs)) {
            return defer(schedule, jobId, nowMs);
        }
        double ratePerS = ratePerS(nowMs, nowS);
        buckets.refill(ratePerS, nowS);
        double overdraft = schedule == null ? 0 : ratePerS * Constants.Admission.OVERDRAFT_S;
        if (schedule == null || metJustNow(schedule, jobId, nowMs)) {
            meter.recordArrival(queue);
        }
        if (buckets.tryAcquire(queue, overdraft)) {
            return new AdmissionDecision.Admit();
        }
        meter.recordThrottled(queue);
        int retryAfterS =
                schedule != null ? 1 : 1 + HashRing.jitter(jobId, Constants.Admission.UNDECIDED_RETRY_SPREAD_S);
        return new AdmissionDecision.RetryLater(retryAfterS);
    }

    /** Pays for a cancellation, which waits for no token; submissions do instead. */
    public void chargeCancellation(long nowMs, double nowS) {
        double ratePerS = ratePerS(nowMs, nowS);
        buckets.refill(ratePerS, nowS);
        buckets.charge(ratePerS);
    }

    /** The clock that told of the turn may have been behind this one, or ahead of it, by twice the skew. */
    private long skewMs() {
        return (long) Math.ceil(2 * deployment.maxClockSkewMs());
    }

    private boolean hasTurn(CursorSchedule schedule, int place, long nowMs) {
        return schedule.passes(place, nowMs - Constants.Admission.TURN_DURATION_MS - skewMs(), nowMs + skewMs());
    }

    /** Whether the turn came so lately that nobody can have been turned away at it and be back already. */
    private boolean metJustNow(CursorSchedule schedule, String jobId, long nowMs) {
        return schedule.passes(
                HashRing.slotOf(jobId), nowMs - Constants.Admission.FIRST_ARRIVAL_WINDOW_MS, nowMs + skewMs());
    }

    private AdmissionDecision defer(CursorSchedule schedule, String jobId, long nowMs) {
        long turnMs = schedule.nextTurnMs(HashRing.slotOf(jobId), nowMs + skewMs());
        if (turnMs <= schedule.endMs()) {
            return new AdmissionDecision.Defer(wholeSeconds(turnMs - nowMs), turnMs, true);
        }
        return new AdmissionDecision.Defer(lookAgainS(jobId, turnMs - nowMs), turnMs, false);
    }

    /** When to ask again whose turn may still move: well before it, and not all at the longest time. */
    private static int lookAgainS(String jobId, long untilTurnMs) {
        int mostS = Constants.Admission.MAX_RETRY_AFTER_S
                - HashRing.jitter(jobId, Constants.Admission.RETRY_AFTER_SPREAD_S);
        long sooner = (long) Math.min(untilTurnMs * Constants.Admission.RECHECK_SHARE, mostS * 1000.0);
        return wholeSeconds(sooner);
    }

    private static int wholeSeconds(long ms) {
        return (int) Math.max(1, Math.ceil(ms / 1000.0));
    }

    /** While nothing is limited more than what the leader never uses, unless that was too much just now. */
    private double openRatePerS(double nowS) {
        boolean tooMuch = nowS - refusedS < Constants.Admission.STATE_REFUSAL_WINDOW_S;
        double share = tooMuch ? Constants.Admission.MIN_SUBMISSION_SHARE : Constants.Admission.OPEN_SUBMISSION_SHARE;
        return deployment.writesPerS() * share / deployment.controllerCount();
    }

    /** Changes a second that this controller may cost. */
    private double ratePerS(long nowMs, double nowS) {
        if (!table.limitsAnyQueue(nowMs)) {
            return openRatePerS(nowS);
        }
        return table.capacityPerS() / deployment.controllerCount();
    }
}
