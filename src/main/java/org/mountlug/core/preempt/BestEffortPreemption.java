package org.mountlug.core.preempt;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.allocate.MachineView;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/**
 * Stops best-effort tasks (array tasks of idle priority whose team has no guarantee) for CPU-only arrays within their team's
 * guarantee. Without this, such arrays would wait for tasks to end, and a guarantee would mean little where best-effort
 * tasks run for minutes. A share of the CPUs stays with best-effort tasks, so that some of them run to their end.
 */
final class BestEffortPreemption {
    private final Cluster cluster;

    BestEffortPreemption(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Returns the best-effort tasks that may be stopped, by machine, those that lose least work first. */
    private Map<String, List<Placement>> stoppableTasksByMachine(double nowS) {
        Map<String, List<Placement>> tasksByMachine = new LinkedHashMap<>();
        for (Job job : cluster.jobs.values()) {
            if (job.spec.priority() != Priority.IDLE
                    || job.spec.isGang()
                    || job.spec.isService()
                    || hasGuarantee(job)) {
                continue;
            }
            for (Placement placement : job.placements.values()) {
                if (!placement.stopping && !placement.standby) {
                    tasksByMachine
                            .computeIfAbsent(placement.machine, m -> new ArrayList<>())
                            .add(placement);
                }
            }
        }
        tasksByMachine.values().forEach(tasks -> tasks.sort(Comparator.comparingDouble(p -> lossS(p, nowS))));
        return tasksByMachine;
    }

    private boolean hasGuarantee(Job job) {
        Team team = cluster.team(job.spec.team());
        return team != null && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0);
    }

    /** Returns the seconds of work that stopping a task loses: with checkpoints at most the time to save. */
    private static double lossS(Placement placement, double nowS) {
        double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
        double checkpointIntervalS = placement.job.spec.checkpointIntervalS();
        return checkpointIntervalS > 0 ? Math.min(ranS, placement.job.spec.checkpointSaveS()) : ranS;
    }

    /**
     * Stops best-effort tasks to free capacity for jobs, each within its team's guarantee.
     *
     * @param unplacedJobs the jobs that the last round could not place, the most urgent first
     * @param machineViews views as the last round left them; capacity freed here is added and reserved in them
     * @param usageByTeam resources that each team uses
     */
    void preemptFor(
            Iterable<Job> unplacedJobs,
            Map<String, MachineView> machineViews,
            Map<String, Resources> usageByTeam,
            double nowS) {
        Map<String, List<Placement>> tasksByMachine = stoppableTasksByMachine(nowS);
        if (tasksByMachine.isEmpty()) {
            return;
        }
        Resources totalCapacity = Resources.ZERO;
        for (MachineView machineView : machineViews.values()) {
            totalCapacity = totalCapacity.plus(machineView.machine.type.capacity());
        }
        double maxCpus = totalCpus(tasksByMachine) - Constants.BEST_EFFORT_MIN_CPU_SHARE * totalCapacity.cpus();
        Map<String, Resources> claimedByTeam = new LinkedHashMap<>(usageByTeam);
        for (Job job : unplacedJobs) {
            if (maxCpus <= 0) {
                return;
            }
            if (mayPreempt(job, nowS)) {
                maxCpus -= stopTasksFor(job, tasksByMachine, machineViews, claimedByTeam, maxCpus);
            }
        }
    }

    private static double totalCpus(Map<String, List<Placement>> tasksByMachine) {
        double cpus = 0;
        for (List<Placement> tasks : tasksByMachine.values()) {
            for (Placement placement : tasks) {
                cpus += placement.job.spec.request().cpus();
            }
        }
        return cpus;
    }

    /** Whether best-effort tasks may be stopped for a job: a CPU-only array that has waited for the preemption delay. */
    private boolean mayPreempt(Job job, double nowS) {
        return !job.cancelled
                && !job.failureHistory.isSuspected()
                && !job.spec.isGang()
                && !job.spec.isService()
                && job.spec.request().gpus() == 0
                && nowS - job.waitingSinceS >= Constants.BEST_EFFORT_PREEMPTION_DELAY_S
                && nowS >= job.pausedUntilS
                && hasGuarantee(job);
    }

    /**
     * Stops best-effort tasks to free capacity for pending tasks of a job and returns the CPUs of the stopped tasks.
     *
     * @param claimedByTeam resources that each team uses or that were freed for it; updated here
     * @param maxCpus number of CPUs after which no further task is stopped
     */
    private double stopTasksFor(
            Job job,
            Map<String, List<Placement>> tasksByMachine,
            Map<String, MachineView> machineViews,
            Map<String, Resources> claimedByTeam,
            double maxCpus) {
        Team team = cluster.team(job.spec.team());
        Resources request = job.spec.request();
        int missingTasks = job.pendingTaskCount();
        double stoppedCpus = 0;
        for (Map.Entry<String, List<Placement>> entry : tasksByMachine.entrySet()) {
            MachineView machineView = machineViews.get(entry.getKey());
            if (machineView == null
                    || !job.spec.allows(
                            machineView.machine.type.name(), machineView.machine.zone, machineView.machine.spot)) {
                continue;
            }
            // On accelerator machines CPU-only arrays get only what accelerator work leaves, so best-effort tasks
            // would get the freed capacity back at once.
            if (machineView.machine.type.capacity().gpus() > 0) {
                continue;
            }
            if (machineView.machine.heldForGang != null || !job.zoneRulesAllow(machineView.machine.zone, 1)) {
                continue;
            }
            // Uses free capacity and that of tasks that are stopping already before any other task is stopped.
            int alreadyFitting = request.countIn(machineView.futureFree());
            int servedTasks = Math.min(alreadyFitting, missingTasks);
            for (int i = 0; i < servedTasks; i++) {
                machineView.reserved = machineView.reserved.plus(request);
                claimedByTeam.merge(job.spec.team(), request, Resources::plus);
            }
            missingTasks -= servedTasks;
            Resources available = machineView.futureFree();
            for (Placement victim : entry.getValue()) {
                Resources claimedWithTask = claimedByTeam
                        .getOrDefault(job.spec.team(), Resources.ZERO)
                        .plus(request);
                if (missingTasks <= 0 || stoppedCpus >= maxCpus || !team.isWithinGuarantee(claimedWithTask)) {
                    return stoppedCpus;
                }
                if (victim.stopping) {
                    continue;
                }
                stop(victim, job);
                stoppedCpus += victim.job.spec.request().cpus();
                machineView.releasing = machineView.releasing.plus(victim.job.spec.request());
                available = available.plus(victim.job.spec.request());
                while (missingTasks > 0 && request.fitsIn(available)) {
                    available = available.minus(request);
                    machineView.reserved = machineView.reserved.plus(request);
                    claimedByTeam.merge(job.spec.team(), request, Resources::plus);
                    missingTasks--;
                }
            }
        }
        return stoppedCpus;
    }

    private void stop(Placement victim, Job job) {
        victim.requestStop(
                victim.job.spec.checkpointIntervalS() > 0
                        ? victim.job.spec.checkpointSaveS() + Constants.SAVE_GRACE_S
                        : 0);
        cluster.addEvent(
                "preempted for the guarantee of " + job.spec.id(), victim.taskName() + " on " + victim.machine);
    }
}
