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
 * Plans the table that the leader publishes, from what all controllers are asked. The capacity is divided between teams by
 * their weights and within a team evenly between its job classes, by weighted max-min fairness; a queue that is asked for
 * more than its part, and of which controllers had to turn submissions away, is limited.
 */
public final class AdmissionPlanner {
    /** A team begins or ceases to have submissions deferred; the rates are of submissions a second at that time. */
    public record DeferralTransition(String team, boolean deferred, double submissionsPerS, double admittedPerS) {}

    private record Counts(long boot, double heardS, Map<QueueId, QueueDemand> byQueue) {}

    private final Map<String, Double> weights;
    private final int controllers;
    private final Map<String, Counts> heard = new HashMap<>();
    private final Map<QueueId, QueueRates> rates = new TreeMap<>();
    private final Map<QueueId, LimitedQueue> limited = new TreeMap<>();
    private final Map<QueueId, LimitedQueue> released = new HashMap<>();
    private final List<DeferralTransition> transitions = new ArrayList<>();
    private long plannedMs = -1;
    /** Steady seconds at which a controller was heard that had not been before. */
    private double joinedS = Double.NEGATIVE_INFINITY;

    /**
     * A planner that knows of no demand yet.
     *
     * @param weights the weight of each team; a team that is not named weighs 1
     * @param controllers how many controllers there are
     */
    public AdmissionPlanner(Map<String, Double> weights, int controllers) {
        this.weights = Map.copyOf(weights);
        this.controllers = controllers;
    }

    /** Goes on with the table of an earlier leader: its schedules are kept, as turns were told by them. */
    public void restore(AdmissionTable table, long nowMs) {
        if (!table.limitsAnyQueue(nowMs)) {
            return;
        }
        double admittedPerS = table.capacityPerS() / table.schedules().size();
        table.schedules().forEach((queue, schedule) -> {
            limited.put(queue, LimitedQueue.restored(schedule, admittedPerS, nowMs));
            rates.put(queue, new QueueRates());
        });
    }

    /** Takes in what a controller has counted since its process, which {@code boot} names, began. */
    public void observeDemand(String controller, long incarnation, List<QueueDemand> demand, double nowS) {
        Counts before = heard.get(controller);
        boolean goesOn = before != null
                && before.boot() == incarnation
                && nowS - before.heardS() <= Constants.Admission.DEMAND_VALID_S;
        joinedS = goesOn ? joinedS : nowS;
        Map<QueueId, QueueDemand> byQueue = new HashMap<>();
        for (QueueDemand counted : demand) {
            byQueue.put(counted.queue(), counted);
            if (goesOn) {
                QueueDemand since = counted.since(before.byQueue().get(counted.queue()));
                rates.computeIfAbsent(counted.queue(), unseen -> new QueueRates())
                        .add(since);
            }
        }
        heard.put(controller, new Counts(incarnation, nowS, byQueue));
    }

    /**
     * Plans the table for the time from now on.
     *
     * @param allowNewLimits whether further queues may be limited: not just after an outage, when all come back who could not be
     *     taken in, which is no flood. Nor are they just after a controller has been heard for the first time.
     */
    public AdmissionTable plan(AdmissionCapacity budget, boolean allowNewLimits, long nowMs, double nowS) {
        measure(nowMs, nowS);
        boolean settled = allowNewLimits && nowS - joinedS > Constants.Admission.OUTAGE_RECOVERY_S;
        Map<QueueId, Double> parts = parts(budget.sustainablePerS());
        Set<String> before = deferredTeams();
        for (Map.Entry<QueueId, QueueRates> entry : rates.entrySet()) {
            plan(entry.getKey(), entry.getValue(), parts.get(entry.getKey()), settled, nowMs);
        }
        noteTransitions(before, parts);
        Map<QueueId, CursorSchedule> schedules = new HashMap<>();
        limited.forEach((queue, limit) -> schedules.put(queue, limit.schedule()));
        return new AdmissionTable(nowMs, budget.capacityPerS(), schedules);
    }

    /** Teams that began or ceased to have submissions deferred since the last call. */
    public List<DeferralTransition> drainTransitions() {
        List<DeferralTransition> taken = List.copyOf(transitions);
        transitions.clear();
        return taken;
    }

    private void measure(long nowMs, double nowS) {
        double elapsedS = plannedMs < 0 ? 1 : Math.max(0.1, (nowMs - plannedMs) / 1000.0);
        long fromMs = plannedMs < 0 ? nowMs - 1000 : plannedMs;
        plannedMs = nowMs;
        long lately = heard.values().stream()
                .filter(counts -> nowS - counts.heardS() <= Constants.Admission.DEMAND_VALID_S)
                .count();
        // A controller that is not heard is taken to be asked as much as the others, as users are spread evenly.
        double factor = lately == 0 ? 1 : Math.max(1, controllers / (double) lately);
        rates.values().forEach(queue -> queue.closeInterval(factor, elapsedS));
        rates.entrySet().removeIf(entry -> entry.getValue().isIdle() && !limited.containsKey(entry.getKey()));
        limited.forEach((queue, limit) -> {
            limit.observe(rates.get(queue).arrivals(), fromMs, nowMs);
        });
    }

    private Map<QueueId, Double> parts(double capacityPerS) {
        Map<String, Map<QueueId, Double>> demands = new HashMap<>();
        rates.forEach((queue, rate) -> demands.computeIfAbsent(queue.team(), unseen -> new HashMap<>())
                .put(queue, limited.containsKey(queue) ? Double.POSITIVE_INFINITY : rate.submissionsPerS()));
        Map<String, Double> teamDemands = new HashMap<>();
        demands.forEach((team, queues) -> teamDemands.put(
                team, queues.values().stream().mapToDouble(Double::doubleValue).sum()));
        Map<String, Double> teamParts =
                FairShares.divide(capacityPerS, teamDemands, team -> weights.getOrDefault(team, 1.0));
        Map<QueueId, Double> parts = new HashMap<>();
        demands.forEach((team, queues) -> parts.putAll(FairShares.divide(teamParts.get(team), queues, queue -> 1)));
        return parts;
    }

    private void plan(QueueId queue, QueueRates rate, double partPerS, boolean allowNewLimits, long nowMs) {
        LimitedQueue limit = limited.get(queue);
        double askedPerS = rate.submissionsPerS();
        double admittedPerS = partPerS * Constants.Admission.TARGET_SHARE;
        if (limit == null) {
            double drainS = askedPerS * Constants.Admission.UNDECIDED_MEAN_RETRY_S / partPerS;
            boolean flooded = allowNewLimits
                    && rate.throttledInLastTwoIntervals()
                    && askedPerS > partPerS
                    && drainS > Constants.Admission.MAX_DRAIN_S;
            if (flooded && limited.size() < Constants.Admission.MAX_TRACKED_QUEUES) {
                limited.put(queue, limitAnew(queue, admittedPerS, rate.latestSubmissionsPerS(), nowMs));
            }
        } else if (limit.isReleasable(admittedPerS, askedPerS, nowMs)) {
            released.put(queue, limited.remove(queue));
        } else {
            limit.extend(admittedPerS, askedPerS, nowMs);
        }
    }

    /** A queue that was limited until lately goes on with its schedule, as some were told turns that are still to come. */
    private LimitedQueue limitAnew(QueueId queue, double admittedPerS, double askedPerS, long nowMs) {
        released.values().removeIf(earlier -> earlier.schedule().endMs() < nowMs);
        LimitedQueue earlier = released.remove(queue);
        if (earlier == null) {
            return LimitedQueue.starting(admittedPerS, askedPerS, nowMs);
        }
        earlier.extend(admittedPerS, askedPerS, nowMs);
        return earlier;
    }

    private Set<String> deferredTeams() {
        Set<String> teams = new TreeSet<>();
        limited.keySet().forEach(queue -> teams.add(queue.team()));
        return teams;
    }

    private void noteTransitions(Set<String> before, Map<QueueId, Double> parts) {
        Set<String> after = deferredTeams();
        Set<String> changed = new TreeSet<>(before);
        changed.addAll(after);
        changed.removeIf(team -> before.contains(team) && after.contains(team));
        for (String team : changed) {
            double askedPerS = 0;
            double admittedPerS = 0;
            for (Map.Entry<QueueId, QueueRates> entry : rates.entrySet()) {
                if (entry.getKey().team().equals(team)) {
                    askedPerS += entry.getValue().submissionsPerS();
                    admittedPerS += parts.get(entry.getKey());
                }
            }
            transitions.add(new DeferralTransition(team, after.contains(team), askedPerS, admittedPerS));
        }
    }
}
