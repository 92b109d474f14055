package org.mountlug.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.mountlug.Constants;

/**
 * Plans the table that the leader publishes, from the submissions at all controllers. The capacity is divided between
 * teams by their weights, and within a team evenly between its job classes, by weighted max-min fairness. A queue is
 * limited if it receives more submissions than its share and controllers had to throttle some of them.
 */
public final class AdmissionPlanner {
    /**
     * A team's submissions begin or cease to be deferred.
     *
     * @param deferred whether deferral begins
     * @param submissionsPerS submissions per second of the team at that time, repetitions included
     * @param admittedPerS submissions per second that the team's queues are allotted at that time
     */
    public record DeferralTransition(String team, boolean deferred, double submissionsPerS, double admittedPerS) {}

    private record Counts(long incarnation, double receivedAtS, Map<QueueId, QueueDemand> byQueue) {}

    private final Map<String, Double> teamWeights;
    private final int controllerCount;
    private final Map<String, Counts> countsByController = new HashMap<>();
    private final Map<QueueId, QueueRates> ratesByQueue = new TreeMap<>();
    private final Map<QueueId, LimitedQueue> limitedQueues = new TreeMap<>();
    private final Map<QueueId, LimitedQueue> releasedQueues = new HashMap<>();
    private final List<DeferralTransition> transitions = new ArrayList<>();
    private long lastPlanMs = -1;
    /**
     * Monotonic seconds at which counts last arrived that do not continue earlier ones, as their controller was new,
     * had been restarted or had sent none for a while.
     */
    private double controllerJoinedAtS = Double.NEGATIVE_INFINITY;

    /**
     * Creates a planner without any demand.
     *
     * @param teamWeights the weight of each team; a team without an entry has weight 1
     * @param controllerCount how many controllers there are
     */
    public AdmissionPlanner(Map<String, Double> teamWeights, int controllerCount) {
        this.teamWeights = Map.copyOf(teamWeights);
        this.controllerCount = controllerCount;
    }

    /** Resumes with the table of an earlier leader. Its schedules are kept because users were given turns by them. */
    public void restore(AdmissionTable table, long nowMs) {
        if (!table.limitsAnyQueue(nowMs)) {
            return;
        }
        double admittedPerS = table.capacityPerS() / table.schedules().size();
        table.schedules().forEach((queue, schedule) -> {
            limitedQueues.put(queue, LimitedQueue.restored(schedule, admittedPerS, nowMs));
            ratesByQueue.put(queue, new QueueRates());
        });
    }

    /**
     * Records the counts of a controller.
     *
     * @param incarnation the controller process that counted; the counts start at 0 with each
     * @param demand counts since that process began
     * @param nowS monotonic seconds
     */
    public void observeDemand(String controller, long incarnation, List<QueueDemand> demand, double nowS) {
        Counts previous = countsByController.get(controller);
        boolean isContinuation = previous != null
                && previous.incarnation() == incarnation
                && nowS - previous.receivedAtS() <= Constants.Admission.DEMAND_VALID_S;
        controllerJoinedAtS = isContinuation ? controllerJoinedAtS : nowS;
        Map<QueueId, QueueDemand> byQueue = new HashMap<>();
        for (QueueDemand counted : demand) {
            byQueue.put(counted.queue(), counted);
            if (isContinuation) {
                QueueDemand since = counted.since(previous.byQueue().get(counted.queue()));
                ratesByQueue
                        .computeIfAbsent(counted.queue(), unseen -> new QueueRates())
                        .add(since);
            }
        }
        countsByController.put(controller, new Counts(incarnation, nowS, byQueue));
    }

    /**
     * Plans the table for the time from now on.
     *
     * @param allowNewLimits whether further queues may be limited. False just after an outage, when all the users
     *     whose submissions failed return, which is no flood. Even if true, no further queue is limited just after the
     *     first counts of a controller.
     * @param nowMs epoch milliseconds
     * @param nowS monotonic seconds
     */
    public AdmissionTable plan(AdmissionCapacity capacity, boolean allowNewLimits, long nowMs, double nowS) {
        updateRates(nowMs, nowS);
        boolean mayLimit = allowNewLimits && nowS - controllerJoinedAtS > Constants.Admission.OUTAGE_RECOVERY_S;
        Map<QueueId, Double> shares = computeShares(capacity.sustainablePerS());
        Set<String> deferredBefore = deferredTeams();
        for (Map.Entry<QueueId, QueueRates> entry : ratesByQueue.entrySet()) {
            updateLimit(entry.getKey(), entry.getValue(), shares.get(entry.getKey()), mayLimit, nowMs);
        }
        recordTransitions(deferredBefore, shares);
        Map<QueueId, CursorSchedule> schedules = new HashMap<>();
        limitedQueues.forEach((queue, limit) -> schedules.put(queue, limit.schedule()));
        return new AdmissionTable(nowMs, capacity.capacityPerS(), schedules);
    }

    /** Returns the transitions recorded since the last call, and clears them. */
    public List<DeferralTransition> drainTransitions() {
        List<DeferralTransition> drained = List.copyOf(transitions);
        transitions.clear();
        return drained;
    }

    private void updateRates(long nowMs, double nowS) {
        double elapsedS = lastPlanMs < 0 ? 1 : Math.max(0.1, (nowMs - lastPlanMs) / 1000.0);
        long fromMs = lastPlanMs < 0 ? nowMs - 1000 : lastPlanMs;
        lastPlanMs = nowMs;
        long reportingControllers = countsByController.values().stream()
                .filter(counts -> nowS - counts.receivedAtS() <= Constants.Admission.DEMAND_VALID_S)
                .count();
        // A controller without recent counts is assumed to receive as many submissions as the others, as users are
        // spread evenly.
        double extrapolationFactor =
                reportingControllers == 0 ? 1 : Math.max(1, controllerCount / (double) reportingControllers);
        ratesByQueue.values().forEach(queue -> queue.closeInterval(extrapolationFactor, elapsedS));
        ratesByQueue
                .entrySet()
                .removeIf(entry -> entry.getValue().isIdle() && !limitedQueues.containsKey(entry.getKey()));
        limitedQueues.forEach((queue, limit) -> {
            limit.observe(ratesByQueue.get(queue).arrivals(), fromMs, nowMs);
        });
    }

    private Map<QueueId, Double> computeShares(double capacityPerS) {
        Map<String, Map<QueueId, Double>> demands = new HashMap<>();
        ratesByQueue.forEach((queue, rate) -> demands.computeIfAbsent(queue.team(), unseen -> new HashMap<>())
                .put(queue, limitedQueues.containsKey(queue) ? Double.POSITIVE_INFINITY : rate.submissionsPerS()));
        Map<String, Double> teamDemands = new HashMap<>();
        demands.forEach((team, queues) -> teamDemands.put(
                team, queues.values().stream().mapToDouble(Double::doubleValue).sum()));
        Map<String, Double> teamShares =
                FairShares.divide(capacityPerS, teamDemands, team -> teamWeights.getOrDefault(team, 1.0));
        Map<QueueId, Double> shares = new HashMap<>();
        demands.forEach((team, queues) -> shares.putAll(FairShares.divide(teamShares.get(team), queues, queue -> 1)));
        return shares;
    }

    private void updateLimit(QueueId queue, QueueRates rate, double sharePerS, boolean allowNewLimits, long nowMs) {
        LimitedQueue limit = limitedQueues.get(queue);
        double submissionsPerS = rate.submissionsPerS();
        double admittedPerS = sharePerS * Constants.Admission.TARGET_SHARE;
        if (limit == null) {
            double drainS = submissionsPerS * Constants.Admission.UNDECIDED_MEAN_RETRY_S / sharePerS;
            boolean flooded = allowNewLimits
                    && rate.throttledInLastTwoIntervals()
                    && submissionsPerS > sharePerS
                    && drainS > Constants.Admission.MAX_DRAIN_S;
            if (flooded && limitedQueues.size() < Constants.Admission.MAX_TRACKED_QUEUES) {
                limitedQueues.put(queue, startLimiting(queue, admittedPerS, rate.latestSubmissionsPerS(), nowMs));
            }
        } else if (limit.isReleasable(admittedPerS, submissionsPerS, nowMs)) {
            releasedQueues.put(queue, limitedQueues.remove(queue));
        } else {
            limit.extend(admittedPerS, submissionsPerS, nowMs);
        }
    }

    /**
     * Limits a queue. If it was limited until recently, it resumes its earlier schedule, because users were given
     * turns by it that are still to come.
     */
    private LimitedQueue startLimiting(QueueId queue, double admittedPerS, double submissionsPerS, long nowMs) {
        releasedQueues.values().removeIf(earlier -> earlier.schedule().endMs() < nowMs);
        LimitedQueue earlier = releasedQueues.remove(queue);
        if (earlier == null) {
            return LimitedQueue.starting(admittedPerS, submissionsPerS, nowMs);
        }
        earlier.extend(admittedPerS, submissionsPerS, nowMs);
        return earlier;
    }

    private Set<String> deferredTeams() {
        Set<String> teams = new TreeSet<>();
        limitedQueues.keySet().forEach(queue -> teams.add(queue.team()));
        return teams;
    }

    private void recordTransitions(Set<String> deferredBefore, Map<QueueId, Double> shares) {
        Set<String> deferredAfter = deferredTeams();
        Set<String> changed = new TreeSet<>(deferredBefore);
        changed.addAll(deferredAfter);
        changed.removeIf(team -> deferredBefore.contains(team) && deferredAfter.contains(team));
        for (String team : changed) {
            double submissionsPerS = 0;
            double admittedPerS = 0;
            for (Map.Entry<QueueId, QueueRates> entry : ratesByQueue.entrySet()) {
                if (entry.getKey().team().equals(team)) {
                    submissionsPerS += entry.getValue().submissionsPerS();
                    admittedPerS += shares.get(entry.getKey());
                }
            }
            transitions.add(new DeferralTransition(team, deferredAfter.contains(team), submissionsPerS, admittedPerS));
        }
    }
}
