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
     * @param weights the weight of each team
     * @param controllers how many controllers divide the capacity
     * @param changesPerS changes a second that the state service takes
     * @param skewMs the most by which a controller's time of day differs from the true one
     */
    public record Deployment(Map<String, Double> weights, int controllers, double changesPerS, double skewMs) {}

    private final AdmissionSettings settings;
    private final Deployment deployment;
    private final DemandMeter meter = new DemandMeter();
    private final TeamBuckets buckets;
    private AdmissionTable table = AdmissionTable.none();
    private double confirmedS = Double.NEGATIVE_INFINITY;
    private double refusedS = Double.NEGATIVE_INFINITY;

    /** A gate that has seen no table yet. */
    public AdmissionGate(AdmissionSettings settings, Deployment deployment) {
        this.settings = settings;
        this.deployment = deployment;
        buckets = new TeamBuckets(
                deployment.weights(), openRatePerS(0), Constants.Admission.BURST_S, Constants.Admission.BURST_LEAST);
    }

    /** The state service has refused a request at this time, in steady seconds, as more was asked than it takes. */
    public void refusedByState(double atS) {
        refusedS = Math.max(refusedS, atS);
    }

    /** Takes in the table as the state service showed it at a time, in steady seconds. */
    public void confirm(AdmissionTable published, double atS) {
        table = published;
        confirmedS = Math.max(confirmedS, atS);
    }

    /** The table was confirmed to be in force still. */
    public void confirm(double atS) {
        confirmedS = Math.max(confirmedS, atS);
    }

    /** Steady seconds at which the table was last known to be in force. */
    public double confirmedS() {
        return confirmedS;
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
        if (nowS - confirmedS > settings.staleViewS()) {
            return new AdmissionDecision.Undecided(1 + HashRing.spread(jobId, Constants.Admission.STALE_RETRY_S));
        }
        meter.asked(queue);
        CursorSchedule schedule = table.schedule(queue, nowMs);
        if (schedule != null && !hasTurn(schedule, HashRing.place(jobId), nowMs)) {
            return defer(schedule, jobId, nowMs);
        }
        double ratePerS = ratePerS(nowMs, nowS);
        buckets.fill(ratePerS, nowS);
        double overdraft = schedule == null ? 0 : ratePerS * Constants.Admission.OVERDRAFT_S;
        if (schedule == null || metJustNow(schedule, jobId, nowMs)) {
            meter.met(queue);
        }
        if (buckets.take(queue, overdraft)) {
            return new AdmissionDecision.Admit();
        }
        meter.refused(queue);
        int retryAfterS = schedule != null ? 1 : 1 + HashRing.spread(jobId, Constants.Admission.UNDECIDED_RETRY_S);
        return new AdmissionDecision.Undecided(retryAfterS);
    }

    /** Pays for a cancellation, which waits for no token; submissions do instead. */
    public void spendForCancellation(long nowMs, double nowS) {
        double ratePerS = ratePerS(nowMs, nowS);
        buckets.fill(ratePerS, nowS);
        buckets.spend(ratePerS);
    }

    /** The clock that told of the turn may have been behind this one, or ahead of it, by twice the skew. */
    private long skewMs() {
        return (long) Math.ceil(2 * deployment.skewMs());
    }

    private boolean hasTurn(CursorSchedule schedule, int place, long nowMs) {
        return schedule.passes(place, nowMs - Constants.Admission.GRACE_MS - skewMs(), nowMs + skewMs());
    }

    /** Whether the turn came so lately that nobody can have been turned away at it and be back already. */
    private boolean metJustNow(CursorSchedule schedule, String jobId, long nowMs) {
        return schedule.passes(HashRing.place(jobId), nowMs - Constants.Admission.MET_MS, nowMs + skewMs());
    }

    private AdmissionDecision defer(CursorSchedule schedule, String jobId, long nowMs) {
        long turnMs = schedule.nextTurnMs(HashRing.place(jobId), nowMs + skewMs());
        if (turnMs <= schedule.endMs()) {
            return new AdmissionDecision.Defer(wholeSeconds(turnMs - nowMs), turnMs, true);
        }
        return new AdmissionDecision.Defer(lookAgainS(jobId, turnMs - nowMs), turnMs, false);
    }

    /** When to ask again whose turn may still move: well before it, and not all at the longest time. */
    private static int lookAgainS(String jobId, long untilTurnMs) {
        int mostS = Constants.Admission.RETRY_MOST_S - HashRing.spread(jobId, Constants.Admission.RETRY_SPREAD_S);
        long sooner = (long) Math.min(untilTurnMs * Constants.Admission.LOOK_AGAIN_SHARE, mostS * 1000.0);
        return wholeSeconds(sooner);
    }

    private static int wholeSeconds(long ms) {
        return (int) Math.max(1, Math.ceil(ms / 1000.0));
    }

    /** While nothing is limited more than what the leader never uses, unless that was too much just now. */
    private double openRatePerS(double nowS) {
        boolean tooMuch = nowS - refusedS < Constants.Admission.REFUSED_S;
        double share = tooMuch ? Constants.Admission.LEAST_SHARE : Constants.Admission.OPEN_SHARE;
        return deployment.changesPerS() * share / deployment.controllers();
    }

    /** Changes a second that this controller may cost. */
    private double ratePerS(long nowMs, double nowS) {
        if (!table.limits(nowMs)) {
            return openRatePerS(nowS);
        }
        return table.capacityPerS() / deployment.controllers();
    }
}
