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
 * Room for arrays without accelerators that are inside their team's guarantee, at the cost of idle work of teams that have
 * none. Such arrays are otherwise queued and wait for tasks to end, which is no promise where a guest's tasks run for
 * minutes. Guests together keep a part of the room, so that they are served all the same.
 */
final class BestEffortPreemption {
    private final Cluster cluster;

    BestEffortPreemption(Cluster cluster) {
        this.cluster = cluster;
    }

    /** What guests run that may be stopped, the cheapest first, by machine; empty where there is nothing to take. */
    private Map<String, List<Placement>> guestTasks(double nowS) {
        Map<String, List<Placement>> byMachine = new LinkedHashMap<>();
        for (Job job : cluster.jobs.values()) {
            if (job.spec.priority() != Priority.IDLE
                    || job.spec.isGang()
                    || job.spec.isService()
                    || hasGuarantee(job)) {
                continue;
            }
            for (Placement placement : job.placements.values()) {
                if (!placement.stopping && !placement.standby) {
                    byMachine
                            .computeIfAbsent(placement.machine, m -> new ArrayList<>())
                            .add(placement);
                }
            }
        }
        byMachine.values().forEach(tasks -> tasks.sort(Comparator.comparingDouble(p -> lossS(p, nowS))));
        return byMachine;
    }

    private boolean hasGuarantee(Job job) {
        Team team = cluster.team(job.spec.team());
        return team != null && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0);
    }

    private static double lossS(Placement placement, double nowS) {
        double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
        double checkpointS = placement.job.spec.checkpointIntervalS();
        return checkpointS > 0 ? Math.min(ranS, placement.job.spec.checkpointSaveS()) : ranS;
    }

    /** Stops guests' tasks for these jobs, the most urgent first, each within its team's guarantee. */
    void preemptFor(
            Iterable<Job> unplaced, Map<String, MachineView> machineViews, Map<String, Resources> usage, double nowS) {
        Map<String, List<Placement>> tasks = guestTasks(nowS);
        if (tasks.isEmpty()) {
            return;
        }
        Resources whole = Resources.ZERO;
        for (MachineView node : machineViews.values()) {
            whole = whole.plus(node.machine.type.capacity());
        }
        double cpusToTake = guestCpus(tasks) - Constants.BEST_EFFORT_MIN_CPU_SHARE * whole.cpus();
        Map<String, Resources> claimed = new LinkedHashMap<>(usage);
        for (Job job : unplaced) {
            if (cpusToTake <= 0) {
                return;
            }
            if (mayClaim(job, nowS)) {
                cpusToTake -= claim(job, tasks, machineViews, claimed, cpusToTake);
            }
        }
    }

    private static double guestCpus(Map<String, List<Placement>> tasks) {
        double cpus = 0;
        for (List<Placement> l : tasks.values()) {
            for (Placement placement : l) {
                cpus += placement.job.spec.request().cpus();
            }
        }
        return cpus;
    }

    private boolean mayClaim(Job job, double nowS) {
        return !job.cancelled
                && !job.failureHistory.isSuspected()
                && !job.spec.isGang()
                && !job.spec.isService()
                && job.spec.request().gpus() == 0
                && nowS - job.waitingSinceS >= Constants.BEST_EFFORT_PREEMPTION_DELAY_S
                && nowS >= job.pausedUntilS
                && hasGuarantee(job);
    }

    /** Makes room for tasks of the job; returns the CPUs that were taken from guests. */
    private double claim(
            Job job,
            Map<String, List<Placement>> tasks,
            Map<String, MachineView> machineViews,
            Map<String, Resources> claimed,
            double cpusToTake) {
        Team team = cluster.team(job.spec.team());
        Resources need = job.spec.request();
        int wanted = job.pendingTaskCount();
        double taken = 0;
        for (Map.Entry<String, List<Placement>> entry : tasks.entrySet()) {
            MachineView node = machineViews.get(entry.getKey());
            if (node == null || !job.spec.allows(node.machine.type.name(), node.machine.zone, node.machine.spot)) {
                continue;
            }
            // On accelerator machines such arrays get only what is left, so room there would go back to guests at once.
            if (node.machine.type.capacity().gpus() > 0) {
                continue;
            }
            if (node.machine.heldForGang != null || !job.zoneRulesAllow(node.machine.zone, 1)) {
                continue;
            }
            // What was told to stop before and is not gone yet serves first.
            int before = need.countIn(node.futureFree());
            int served = Math.min(before, wanted);
            for (int i = 0; i < served; i++) {
                node.reserved = node.reserved.plus(need);
                claimed.merge(job.spec.team(), need, Resources::plus);
            }
            wanted -= served;
            Resources room = node.futureFree();
            for (Placement guest : entry.getValue()) {
                Resources then =
                        claimed.getOrDefault(job.spec.team(), Resources.ZERO).plus(need);
                if (wanted <= 0 || taken >= cpusToTake || !team.isWithinGuarantee(then)) {
                    return taken;
                }
                if (guest.stopping) {
                    continue;
                }
                stop(guest, job);
                taken += guest.job.spec.request().cpus();
                node.releasing = node.releasing.plus(guest.job.spec.request());
                room = room.plus(guest.job.spec.request());
                while (wanted > 0 && need.fitsIn(room)) {
                    room = room.minus(need);
                    node.reserved = node.reserved.plus(need);
                    claimed.merge(job.spec.team(), need, Resources::plus);
                    wanted--;
                }
            }
        }
        return taken;
    }

    private void stop(Placement guest, Job job) {
        guest.requestStop(
                guest.job.spec.checkpointIntervalS() > 0
                        ? guest.job.spec.checkpointSaveS() + Constants.SAVE_GRACE_S
                        : 0);
        cluster.addEvent("preempted for the guarantee of " + job.spec.id(), guest.taskName() + " on " + guest.machine);
    }
}
