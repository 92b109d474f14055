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
 * Selects and stops tasks for pending jobs: tasks of a lower priority, or, for a team within its guarantee, tasks of a team
 * above its own. Their capacity becomes releasing capacity, which the next round can reserve for a gang.
 */
public final class Preemptor {
    /** Maximum number of tasks of one array for which tasks are stopped in one round. */
    private static final int MAX_ARRAY_TASKS_PER_ROUND = 4;

    private final Cluster cluster;
    /** By the ID of the job for which tasks were stopped: monotonic time of the last stop in seconds. */
    private final Map<String, Double> lastPreemptionByJobS = new HashMap<>();

    private final BestEffortPreemption bestEffortPreemption;
    private ReplicaStartTimes replicaStartTimes;

    /** Creates a preemptor for the jobs and machines of the cluster. */
    public Preemptor(Cluster cluster) {
        this.cluster = cluster;
        this.bestEffortPreemption = new BestEffortPreemption(cluster);
    }

    /**
     * Stops tasks to free capacity for jobs that the last round could not place.
     *
     * @param unplacedJobs the jobs to free capacity for, the most urgent first
     * @param machineViews views as the last round left them; capacity freed here is added and reserved in them
     * @param usageByTeam resources that each team uses, those of stopping tasks included
     * @param nowS monotonic time in seconds
     */
    public void preemptFor(
            Collection<Job> unplacedJobs,
            Map<String, MachineView> machineViews,
            Map<String, Resources> usageByTeam,
            ReplicaStartTimes replicaStartTimes,
            double nowS) {
        this.replicaStartTimes = replicaStartTimes;
        lastPreemptionByJobS.keySet().removeIf(jobId -> !cluster.jobs.containsKey(jobId));
        Map<String, Resources> usageAfterStops = null;
        for (Job job : unplacedJobs) {
            // No tasks are stopped here for CPU-only arrays and gangs: they wait in their queues, as CPU machines are
            // plentiful. For CPU-only services tasks are stopped, because users miss a service from the first second
            // on.
            if (job.cancelled
                    || job.failureHistory.isSuspected()
                    || job.spec.request().gpus() == 0 && !job.spec.isService()
                    || cluster.reservations.containsKey(job.spec.id())) {
                continue;
            }
            if (nowS - lastPreemptionByJobS.getOrDefault(job.spec.id(), -1e9) < Constants.PREEMPT_PAUSE_S) {
                continue;
            }
            if (job.spec.isGang() && !job.placements.isEmpty()) {
                continue;
            }
            JobSpec spec = job.spec;
            int maxTasks = spec.isGang()
                    ? spec.tasks()
                    : spec.isService()
                            ? job.pendingTaskCount()
                            : Math.min(job.pendingTaskCount(), MAX_ARRAY_TASKS_PER_ROUND);
            int minTasks = spec.isGang() ? maxTasks : 1;
            Resources usageWithJob = usageByTeam
                    .getOrDefault(spec.team(), Resources.ZERO)
                    .plus(new Resources(
                            spec.request().cpus() * minTasks,
                            spec.request().gpus() * minTasks,
                            spec.request().ramGb() * minTasks));
            Team team = cluster.team(spec.team());
            if (team != null && !team.isWithinLimit(usageWithJob)) {
                continue;
            }
            boolean withinGuarantee = team != null && team.isWithinGuarantee(usageWithJob);
            if (usageAfterStops == null) {
                usageAfterStops = usageAfterStops(usageByTeam);
            }
            Set<String> zones = new LinkedHashSet<>();
            if (spec.isGang() && spec.oneZone()) {
                for (MachineView machineView : machineViews.values()) {
                    zones.add(machineView.machine.zone);
                }
            } else {
                zones.add(null);
            }
            for (String zone : zones) {
                PreemptionPlan plan =
                        planStops(job, zone, maxTasks, minTasks, withinGuarantee, machineViews, usageAfterStops, nowS);
                if (plan == null) {
                    continue;
                }
                for (Placement victim : plan.victims) {
                    victim.requestStop(
                            victim.job.spec.checkpointIntervalS() > 0
                                    ? victim.job.spec.checkpointSaveS() + Constants.SAVE_GRACE_S
                                    : 0);
                    if (victim.job.spec.isGang()) {
                        for (Placement gangPlacement : victim.job.placements.values()) {
                            gangPlacement.requestStop(victim.gracePeriodS);
                        }
                    }
                    cluster.addEvent("preempted for " + spec.id(), victim.taskName() + " on " + victim.machine);
                }
                lastPreemptionByJobS.put(spec.id(), nowS);
                usageAfterStops = plan.usageAfterStops;
                break;
            }
        }
        bestEffortPreemption.preemptFor(unplacedJobs, machineViews, usageByTeam, nowS);
    }

    /** The tasks to stop for one job, and the machines on which capacity is reserved for it. */
    private static final class PreemptionPlan {
        final Set<Placement> victims = new LinkedHashSet<>();
        /** One entry for each reserved task. */
        final List<MachineView> claimedMachines = new ArrayList<>();
        /** Resources that each team would use without stopping tasks and the victims. */
        final Map<String, Resources> usageAfterStops;

        PreemptionPlan(Map<String, Resources> usageAfterStops) {
            this.usageAfterStops = new HashMap<>(usageAfterStops);
        }
    }

    /** Returns what each team would use without its stopping tasks; guarantees of victims' teams are checked against it. */
    private Map<String, Resources> usageAfterStops(Map<String, Resources> usageByTeam) {
        Map<String, Resources> usageAfterStops = new HashMap<>(usageByTeam);
        for (Job job : cluster.jobs.values()) {
            for (Placement placement : job.placements.values()) {
                if (placement.stopping) {
                    usageAfterStops.merge(job.spec.team(), job.spec.request(), Resources::minus);
                }
            }
        }
        return usageAfterStops;
    }

    /** Returns the resources that stopping a task frees; a gang is stopped as a whole. */
    private static Resources freedByStopping(Placement placement) {
        Resources request = placement.job.spec.request();
        int taskCount = placement.job.spec.isGang() ? placement.job.placements.size() : 1;
        return new Resources(request.cpus() * taskCount, request.gpus() * taskCount, request.ramGb() * taskCount);
    }

    /**
     * Returns the tasks to stop for a job and reserves their capacity in the machine views, or returns null if fewer than
     * {@code minTasks} tasks would fit or nothing has to be stopped. For a gang, capacity that is free or held for it is
     * used first, and nothing is stopped unless all of its tasks would fit; otherwise the stopped tasks would be started
     * again in the next round and stopped once more, for as long as the gang waits.
     *
     * @param zone the only zone to consider, or null for all
     * @param withinGuarantee whether the job's team stays within its guarantee with {@code minTasks} more tasks
     */
    private PreemptionPlan planStops(
            Job job,
            String zone,
            int maxTasks,
            int minTasks,
            boolean withinGuarantee,
            Map<String, MachineView> machineViews,
            Map<String, Resources> usageAfterStops,
            double nowS) {
        PreemptionPlan plan = new PreemptionPlan(usageAfterStops);
        Resources request = job.spec.request();
        int claimedTasks = 0;
        Map<String, Integer> tasksByZone = new HashMap<>();
        if (job.spec.isGang()) {
            for (MachineView machineView : machineViews.values()) {
                while (claimedTasks < maxTasks
                        && mayUse(job, machineView, zone)
                        && request.fitsIn(machineView.futureFree())) {
                    machineView.reserved = machineView.reserved.plus(request);
                    plan.claimedMachines.add(machineView);
                    claimedTasks++;
                }
            }
        }
        while (claimedTasks < maxTasks) {
            List<Placement> victims =
                    findCheapestVictims(job, zone, withinGuarantee, plan, tasksByZone, machineViews, nowS);
            if (victims == null) {
                break;
            }
            MachineView machineView = machineViews.get(victims.get(0).machine);
            for (Placement victim : victims) {
                machineView.releasing = machineView.releasing.plus(victim.job.spec.request());
                plan.usageAfterStops.merge(victim.job.spec.team(), freedByStopping(victim), Resources::minus);
            }
            plan.victims.addAll(victims);
            tasksByZone.merge(machineView.machine.zone, 1, Integer::sum);
            machineView.reserved = machineView.reserved.plus(request);
            plan.claimedMachines.add(machineView);
            claimedTasks++;
        }
        if (claimedTasks >= minTasks && !plan.victims.isEmpty()) {
            return plan;
        }
        for (MachineView machineView : plan.claimedMachines) {
            machineView.reserved = machineView.reserved.minus(request);
        }
        for (Placement victim : plan.victims) {
            MachineView machineView = machineViews.get(victim.machine);
            machineView.releasing = machineView.releasing.minus(victim.job.spec.request());
        }
        return null;
    }

    /** Whether the job's rules and holds for other gangs allow a task on the machine; null as zone allows every zone. */
    private static boolean mayUse(Job job, MachineView machineView, String zone) {
        return job.spec.allows(machineView.machine.type.name(), machineView.machine.zone, machineView.machine.spot)
                && (zone == null || zone.equals(machineView.machine.zone))
                && (machineView.machine.heldForGang == null || machineView.machine.heldForGang.equals(job.spec.id()));
    }

    /** Returns the tasks of one machine whose stop lets one task fit at the lowest cost, or null if there are none. */
    private List<Placement> findCheapestVictims(
            Job job,
            String zone,
            boolean withinGuarantee,
            PreemptionPlan plan,
            Map<String, Integer> tasksByZone,
            Map<String, MachineView> machineViews,
            double nowS) {
        JobSpec spec = job.spec;
        List<Placement> best = null;
        double lowestCostS = Double.MAX_VALUE;
        for (MachineView machineView : machineViews.values()) {
            if (!mayUse(job, machineView, zone) || !spec.request().fitsIn(machineView.machine.type.capacity())) {
                continue;
            }
            if (spec.isService()
                    && spec.request().gpus() == 0
                    && machineView.machine.type.capacity().gpus() > 0) {
                continue;
            }
            if (spec.isService()
                    && replicaStartTimes.mayWaitForBetterMachine(job)
                    && replicaStartTimes.latenessS(job, machineView.machine) > 0) {
                continue;
            }
            if (spec.spreadAcrossZones()
                    && !job.zoneRulesAllow(
                            machineView.machine.zone, 1 + tasksByZone.getOrDefault(machineView.machine.zone, 0))) {
                continue;
            }
            List<Placement> candidates = new ArrayList<>();
            for (Placement placement : machineView.machine.placements.values()) {
                if (!placement.stopping
                        && !placement.standby
                        && !plan.victims.contains(placement)
                        && mayStop(spec, withinGuarantee, placement, plan.usageAfterStops, Map.of())) {
                    candidates.add(placement);
                }
            }
            if (candidates.isEmpty()) {
                continue;
            }
            candidates.sort(Comparator.comparingDouble(placement -> stopCostS(placement, nowS)));
            Resources available = machineView.futureFree();
            List<Placement> victims = new ArrayList<>();
            Map<String, Resources> freedByTeam = new HashMap<>();
            // The start has to wait for the image, so seconds of fetching count as much as seconds of lost work.
            double costS = machineView.machine.cachedImages.contains(spec.image())
                    ? 0
                    : spec.imageGb() / Math.max(0.01, machineView.machine.type.fetchGbPerS());
            for (Placement placement : candidates) {
                if (spec.request().fitsIn(available)) {
                    break;
                }
                if (!mayStop(spec, withinGuarantee, placement, plan.usageAfterStops, freedByTeam)) {
                    continue;
                }
                freedByTeam.merge(placement.job.spec.team(), freedByStopping(placement), Resources::plus);
                available = available.plus(placement.job.spec.request());
                victims.add(placement);
                costS += stopCostS(placement, nowS);
            }
            if (!victims.isEmpty() && spec.request().fitsIn(available) && costS < lowestCostS) {
                lowestCostS = costS;
                best = victims;
            }
        }
        return best;
    }

    /**
     * Whether a task may be stopped for a job. A task of a lower priority may be. Otherwise the job's team must stay within
     * its guarantee, and the victim's team must have one and keep it. After the stop, which ends a gang as a whole, that
     * team must still use at least its guaranteed accelerators if it has any and the victim uses accelerators, else more
     * than its guarantee. Without this rule two teams would stop each other's gangs in turn while both have some waiting.
     *
     * @param usageAfterStops resources that each team would use without stopping tasks and the plan's victims
     * @param freedByTeam resources that further victims on the same machine would free
     */
    private boolean mayStop(
            JobSpec spec,
            boolean withinGuarantee,
            Placement placement,
            Map<String, Resources> usageAfterStops,
            Map<String, Resources> freedByTeam) {
        JobSpec victimSpec = placement.job.spec;
        // Accelerator work and gangs are worth more than the small capacity that a CPU-only replica needs.
        if (spec.isService()
                && spec.request().gpus() == 0
                && (victimSpec.request().gpus() > 0 || victimSpec.isGang())) {
            return false;
        }
        if (victimSpec.priority().compareTo(spec.priority()) < 0) {
            return true;
        }
        if (!withinGuarantee || victimSpec.team().equals(spec.team())) {
            return false;
        }
        Team victimTeam = cluster.team(victimSpec.team());
        if (victimTeam == null || victimTeam.guaranteedGpus() <= 0 && victimTeam.guaranteedCpus() <= 0) {
            return false;
        }
        Resources victimTeamUsage = usageAfterStops
                .getOrDefault(victimSpec.team(), Resources.ZERO)
                .minus(freedByTeam.getOrDefault(victimSpec.team(), Resources.ZERO))
                .minus(freedByStopping(placement));
        return victimSpec.request().gpus() > 0 && victimTeam.guaranteedGpus() > 0
                ? victimTeamUsage.gpus() > victimTeam.guaranteedGpus() - 1e-6
                : !victimTeam.isWithinGuarantee(victimTeamUsage);
    }

    /**
     * Returns the cost of stopping a task in seconds of lost work, weighted by its accelerators, or by its CPUs in units of
     * 16. With checkpoints only the time to save is lost, otherwise all work since the start, in either case with 5 s added.
     * A task that should end within 5 s costs 20 s more. A replica always costs {@code REPLICA_LOSS_COST_S}.
     */
    private double stopCostS(Placement placement, double nowS) {
        JobSpec spec = placement.job.spec;
        double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
        double weight = spec.request().gpus() > 0
                ? spec.request().gpus()
                : spec.request().cpus() / 16;
        if (spec.isService()) {
            return Constants.REPLICA_LOSS_COST_S;
        }
        double remainingS = Math.max(0, cluster.expectedRunS(placement.job) - ranS);
        double wastedS = spec.checkpointIntervalS() > 0 ? spec.checkpointSaveS() + 5 : ranS + 5;
        return weight * wastedS + (remainingS < 5 ? 20 : 0);
    }
}
