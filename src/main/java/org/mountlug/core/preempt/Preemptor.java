package org.mountlug.core.preempt;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.allocate.MachineView;
import org.mountlug.core.allocate.ReplicaStartTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/**
 * Stops tasks where the protocol allows it: for a job of higher priority, or for a team that is below its guarantee
 * and at the cost of one above its own. The room becomes releasing room, which the next round reserves for the gang.
 */
public final class Preemptor {
    /** Tasks of an array for which room is made in one round. */
    private static final int ARRAY_TASKS = 4;

    private final Cluster cluster;
    private final Map<String, Double> lastFor = new HashMap<>();
    private final BestEffortPreemption guests;
    private ReplicaStartTimes times;

    /** Decides for the jobs and machines of this cluster. */
    public Preemptor(Cluster cluster) {
        this.cluster = cluster;
        this.guests = new BestEffortPreemption(cluster);
    }

    /** Stops tasks to make room for jobs that the round before could not place, the most urgent first. */
    public void preemptFor(
            Collection<Job> unplaced,
            Map<String, MachineView> machineViews,
            Map<String, Resources> usage,
            ReplicaStartTimes times,
            double nowS) {
        this.times = times;
        lastFor.keySet().removeIf(id -> !cluster.jobs.containsKey(id));
        Map<String, Resources> left = null;
        for (Job j : unplaced) {
            // Work without accelerators is queued, not forced in, as it has plenty of cheap machines to wait for; but
            // not services, which are missed from the first second on.
            if (j.cancelled
                    || j.failureHistory.isSuspected()
                    || j.spec.request().gpus() == 0 && !j.spec.isService()
                    || cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            if (nowS - lastFor.getOrDefault(j.spec.id(), -1e9) < Constants.PREEMPT_PAUSE_S) {
                continue;
            }
            if (j.spec.isGang() && !j.placements.isEmpty()) {
                continue;
            }
            JobSpec s = j.spec;
            int want = s.isGang()
                    ? s.tasks()
                    : s.isService() ? j.pendingTaskCount() : Math.min(j.pendingTaskCount(), ARRAY_TASKS);
            int least = s.isGang() ? want : 1;
            Resources then = usage.getOrDefault(s.team(), Resources.ZERO)
                    .plus(new Resources(
                            s.request().cpus() * least,
                            s.request().gpus() * least,
                            s.request().ramGb() * least));
            Team team = cluster.team(s.team());
            if (team != null && !team.isWithinLimit(then)) {
                continue;
            }
            boolean due = team != null && team.isWithinGuarantee(then);
            if (left == null) {
                left = remaining(usage);
            }
            Set<String> zones = new LinkedHashSet<>();
            if (s.isGang() && s.oneZone()) {
                for (MachineView n : machineViews.values()) {
                    zones.add(n.machine.zone);
                }
            } else {
                zones.add(null);
            }
            for (String zone : zones) {
                Plan p = plan(j, zone, want, least, due, machineViews, left, nowS);
                if (p == null) {
                    continue;
                }
                for (Placement v : p.victims) {
                    v.requestStop(
                            v.job.spec.checkpointIntervalS() > 0
                                    ? v.job.spec.checkpointSaveS() + Constants.SAVE_GRACE_S
                                    : 0);
                    if (v.job.spec.isGang()) {
                        for (Placement q : v.job.placements.values()) {
                            q.requestStop(v.gracePeriodS);
                        }
                    }
                    cluster.addEvent("preempted for " + s.id(), v.taskName() + " on " + v.machine);
                }
                lastFor.put(s.id(), nowS);
                left = p.left;
                break;
            }
        }
        guests.preemptFor(unplaced, machineViews, usage, nowS);
    }

    /** What to stop for one job, and the room that it takes in the round's view. */
    private static final class Plan {
        final Set<Placement> victims = new LinkedHashSet<>();
        final List<MachineView> claimed = new ArrayList<>();
        final Map<String, Resources> left;

        Plan(Map<String, Resources> left) {
            this.left = new HashMap<>(left);
        }
    }

    /** What each team would use if all that was told to stop were gone: its guarantee is judged by that. */
    private Map<String, Resources> remaining(Map<String, Resources> usage) {
        Map<String, Resources> left = new HashMap<>(usage);
        for (Job j : cluster.jobs.values()) {
            for (Placement p : j.placements.values()) {
                if (p.stopping) {
                    left.merge(j.spec.team(), j.spec.request(), Resources::minus);
                }
            }
        }
        return left;
    }

    /** What goes with a task that is stopped: a gang stops as a whole. */
    private static Resources goesWith(Placement p) {
        Resources n = p.job.spec.request();
        int k = p.job.spec.isGang() ? p.job.placements.size() : 1;
        return new Resources(n.cpus() * k, n.gpus() * k, n.ramGb() * k);
    }

    /**
     * All or nothing: a gang for which not every task can be provided stops nobody, or what it stopped would be started
     * again next round and stopped once more, for as long as it waits. Room that is free or held for it counts first.
     */
    private Plan plan(
            Job j,
            String zone,
            int want,
            int least,
            boolean due,
            Map<String, MachineView> machineViews,
            Map<String, Resources> left,
            double nowS) {
        Plan p = new Plan(left);
        Resources need = j.spec.request();
        int got = 0;
        Map<String, Integer> perZone = new HashMap<>();
        if (j.spec.isGang()) {
            for (MachineView n : machineViews.values()) {
                while (got < want && may(j, n, zone) && need.fitsIn(n.futureFree())) {
                    n.reserved = n.reserved.plus(need);
                    p.claimed.add(n);
                    got++;
                }
            }
        }
        while (got < want) {
            List<Placement> victims = cheapest(j, zone, due, p, perZone, machineViews, nowS);
            if (victims == null) {
                break;
            }
            MachineView n = machineViews.get(victims.get(0).machine);
            for (Placement v : victims) {
                n.releasing = n.releasing.plus(v.job.spec.request());
                p.left.merge(v.job.spec.team(), goesWith(v), Resources::minus);
            }
            p.victims.addAll(victims);
            perZone.merge(n.machine.zone, 1, Integer::sum);
            n.reserved = n.reserved.plus(need);
            p.claimed.add(n);
            got++;
        }
        if (got >= least && !p.victims.isEmpty()) {
            return p;
        }
        for (MachineView n : p.claimed) {
            n.reserved = n.reserved.minus(need);
        }
        for (Placement v : p.victims) {
            MachineView n = machineViews.get(v.machine);
            n.releasing = n.releasing.minus(v.job.spec.request());
        }
        return null;
    }

    private static boolean may(Job j, MachineView n, String zone) {
        return j.spec.allows(n.machine.type.name(), n.machine.zone, n.machine.spot)
                && (zone == null || zone.equals(n.machine.zone))
                && (n.machine.heldForGang == null || n.machine.heldForGang.equals(j.spec.id()));
    }

    private List<Placement> cheapest(
            Job j,
            String zone,
            boolean due,
            Plan plan,
            Map<String, Integer> perZone,
            Map<String, MachineView> machineViews,
            double nowS) {
        JobSpec s = j.spec;
        List<Placement> best = null;
        double least = Double.MAX_VALUE;
        for (MachineView n : machineViews.values()) {
            if (!may(j, n, zone) || !s.request().fitsIn(n.machine.type.capacity())) {
                continue;
            }
            if (s.isService()
                    && s.request().gpus() == 0
                    && n.machine.type.capacity().gpus() > 0) {
                continue;
            }
            if (s.isService() && times.canWait(j) && times.latenessS(j, n.machine) > 0) {
                continue;
            }
            if (s.spreadAcrossZones()
                    && !j.zoneRulesAllow(n.machine.zone, 1 + perZone.getOrDefault(n.machine.zone, 0))) {
                continue;
            }
            List<Placement> may = new ArrayList<>();
            for (Placement p : n.machine.placements.values()) {
                if (!p.stopping && !p.standby && !plan.victims.contains(p) && mayStop(s, due, p, plan.left, Map.of())) {
                    may.add(p);
                }
            }
            if (may.isEmpty()) {
                continue;
            }
            may.sort(Comparator.comparingDouble(p -> loss(p, nowS)));
            Resources room = n.futureFree();
            List<Placement> taken = new ArrayList<>();
            Map<String, Resources> gone = new HashMap<>();
            // A start waits for its image too: a machine that has it is worth the loss of as much work.
            double cost = n.machine.cachedImages.contains(s.image())
                    ? 0
                    : s.imageGb() / Math.max(0.01, n.machine.type.fetchGbPerS());
            for (Placement p : may) {
                if (s.request().fitsIn(room)) {
                    break;
                }
                if (!mayStop(s, due, p, plan.left, gone)) {
                    continue;
                }
                gone.merge(p.job.spec.team(), goesWith(p), Resources::plus);
                room = room.plus(p.job.spec.request());
                taken.add(p);
                cost += loss(p, nowS);
            }
            if (!taken.isEmpty() && s.request().fitsIn(room) && cost < least) {
                least = cost;
                best = taken;
            }
        }
        return best;
    }

    /**
     * Whether a task may be stopped, given what its team would be left with and what of that goes too. Only what runs
     * beyond the other team's guarantee, of the kind that it is guaranteed, may be taken back, and a gang only if that
     * holds for all of it; or the two teams stop each other's gangs in turn, for as long as both have some waiting.
     */
    private boolean mayStop(
            JobSpec s, boolean due, Placement p, Map<String, Resources> left, Map<String, Resources> gone) {
        JobSpec v = p.job.spec;
        // Accelerator work is worth more than the little room that a service takes beside it.
        if (s.isService() && s.request().gpus() == 0 && (v.request().gpus() > 0 || v.isGang())) {
            return false;
        }
        if (v.priority().compareTo(s.priority()) < 0) {
            return true;
        }
        if (!due || v.team().equals(s.team())) {
            return false;
        }
        Team other = cluster.team(v.team());
        if (other == null || other.guaranteedGpus() <= 0 && other.guaranteedCpus() <= 0) {
            return false;
        }
        Resources then = left.getOrDefault(v.team(), Resources.ZERO)
                .minus(gone.getOrDefault(v.team(), Resources.ZERO))
                .minus(goesWith(p));
        return v.request().gpus() > 0 && other.guaranteedGpus() > 0
                ? then.gpus() > other.guaranteedGpus() - 1e-6
                : !other.isWithinGuarantee(then);
    }

    /** Seconds of work that a stop would waste: all of it without checkpoints, the saving otherwise. */
    private double loss(Placement p, double nowS) {
        JobSpec s = p.job.spec;
        double ran = Double.isNaN(p.runningSinceS) ? 0 : nowS - p.runningSinceS;
        double share = s.request().gpus() > 0 ? s.request().gpus() : s.request().cpus() / 16;
        if (s.isService()) {
            return Constants.REPLICA_LOSS_COST_S;
        }
        double left = Math.max(0, cluster.expectedRunS(p.job) - ran);
        double waste = s.checkpointIntervalS() > 0 ? s.checkpointSaveS() + 5 : ran + 5;
        return share * waste + (left < 5 ? 20 : 0);
    }
}
