package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.zone.ZoneMonitor;

/**
 * Runs one allocation round: first the gangs that hold reservations, each task on its reserved machine if possible, then
 * all other pending jobs from the teams' queues.
 */
public final class Allocator {
    private final RoundState round;
    private final GangPlacer gangPlacer;
    private final ArrayPlacer arrayPlacer;
    private final ReplicaPlacer replicaPlacer;
    private final GangMachineHolds gangMachineHolds;

    /**
     * Prepares one round with a view of each machine that accepts work.
     *
     * @param orderKey key by which the jobs of a queue are sorted, lowest first
     * @param nowS monotonic time of the round in seconds
     */
    public Allocator(
            Cluster cluster,
            ZoneMonitor zones,
            ToDoubleFunction<Job> orderKey,
            ReplicaStartTimes startTimes,
            double nowS) {
        round = new RoundState(cluster, zones, orderKey, startTimes, nowS);
        gangPlacer = new GangPlacer(round);
        arrayPlacer = new ArrayPlacer(round);
        replicaPlacer = new ReplicaPlacer(round);
        gangMachineHolds = new GangMachineHolds(round);
    }

    /** Returns the machine views by machine name; after {@link #allocate} they include this round's placements. */
    public Map<String, MachineView> machineViews() {
        return round.machineViews;
    }

    /** Returns the resources that each team uses; after {@link #allocate} they include this round's placements. */
    public Map<String, Resources> usageByTeam() {
        return round.usageByTeam;
    }

    /** Runs the round, records its placements in the cluster and returns how many tasks were placed. */
    public int allocate() {
        // Charges the reservations of the last round to the machine views before any job is placed.
        for (Map.Entry<String, List<Reservation>> entry : round.cluster.reservations.entrySet()) {
            Job job = round.cluster.jobs.get(entry.getKey());
            for (Reservation reservation : entry.getValue()) {
                MachineView machineView = round.machineViews.get(reservation.machine());
                if (job != null && machineView != null) {
                    machineView.reserved = machineView.reserved.plus(job.spec.request());
                }
            }
        }
        gangMachineHolds.releaseUnneeded();
        List<Job> jobsWithReservations = new ArrayList<>();
        List<Job> jobsWithoutReservations = new ArrayList<>();
        for (Job job : round.cluster.jobs.values()) {
            // A gang is placed as a whole, so it waits until no task of an earlier attempt is left.
            boolean placeable = !job.spec.isGang() || job.placements.isEmpty();
            if (job.cancelled || job.pendingTaskCount() <= 0 || !placeable) {
                round.releaseReservations(job);
                continue;
            }
            (round.cluster.reservations.containsKey(job.spec.id()) ? jobsWithReservations : jobsWithoutReservations)
                    .add(job);
        }
        placeInQueueOrder(jobsWithReservations);
        placeInQueueOrder(jobsWithoutReservations);
        round.cluster.serviceWaiting = false;
        for (Job job : jobsWithoutReservations) {
            round.cluster.serviceWaiting |= job.spec.isService() && job.pendingTaskCount() > 0;
        }
        gangMachineHolds.holdMachines(jobsWithoutReservations);
        placeOverflow(jobsWithoutReservations);
        for (Job job : jobsWithoutReservations) {
            if (!job.spec.isGang() && job.pendingTaskCount() > 0 && packsPoorly(job)) {
                arrayPlacer.place(job, false);
            }
        }
        arrayPlacer.placeOnStandby(jobsWithoutReservations);
        return round.placedCount();
    }

    /** Places jobs in the order of their queues; arrays that pack poorly on CPU machines are left for later. */
    private void placeInQueueOrder(List<Job> jobs) {
        TeamQueues queues = round.teamQueues(jobs);
        for (Job job = queues.next(); job != null; job = queues.next()) {
            if (job.spec.isGang()) {
                gangPlacer.place(job);
            } else if (job.spec.isService()) {
                replicaPlacer.place(job);
            } else if (!packsPoorly(job)) {
                arrayPlacer.place(job, false);
            }
        }
    }

    /**
     * Places CPU-only jobs that the CPU machines cannot serve in time on capacity that accelerator work leaves free on
     * accelerator machines. While accelerator jobs wait, overflow is blocked on some accelerator machines, so that these
     * empty as short tasks end; otherwise gangs that need whole machines would starve behind a stream of small tasks.
     */
    private void placeOverflow(List<Job> pending) {
        double neededMachines = 0;
        for (Job job : pending) {
            if (job.spec.request().gpus() == 0
                    || job.pendingTaskCount() <= 0
                    || job.failureHistory.isSuspected()
                    || round.cluster.reservations.containsKey(job.spec.id())) {
                continue;
            }
            double machineShare = 1;
            for (MachineView machineView : round.machineViews.values()) {
                if (job.spec.allows(machineView.machine.type.name(), machineView.machine.zone, machineView.machine.spot)
                        && job.spec.request().fitsIn(machineView.machine.type.capacity())) {
                    machineShare = Math.min(
                            machineShare, job.spec.request().dominantShareOf(machineView.machine.type.capacity()));
                }
            }
            neededMachines += Math.min(job.pendingTaskCount(), Constants.OVERFLOW_BLOCK_TASKS) * machineShare;
        }
        List<MachineView> acceleratorMachines = new ArrayList<>();
        for (MachineView machineView : round.machineViews.values()) {
            if (machineView.machine.type.capacity().gpus() > 0) {
                acceleratorMachines.add(machineView);
            }
        }
        // Machines that are blocked already come first and stay blocked, then those with the largest free share.
        acceleratorMachines.sort(
                Comparator.comparing((MachineView machineView) -> machineView.machine.noOverflowUntilS <= round.nowS)
                        .thenComparingDouble(
                                machineView -> -machineView.free.dominantShareOf(machineView.machine.type.capacity()))
                        .thenComparing(machineView -> machineView.machine.name));
        int blockedCount = (int) Math.min(
                Math.ceil(neededMachines), Math.ceil(acceleratorMachines.size() * Constants.OVERFLOW_BLOCK_SHARE));
        for (int i = 0; i < acceleratorMachines.size(); i++) {
            Machine machine = acceleratorMachines.get(i).machine;
            if (i < blockedCount) {
                machine.noOverflowUntilS = Math.max(machine.noOverflowUntilS, round.nowS + Constants.OVERFLOW_BLOCK_S);
            } else if (neededMachines == 0) {
                machine.noOverflowUntilS = Double.NEGATIVE_INFINITY;
            }
        }
        List<Job> overflowJobs = new ArrayList<>();
        for (Job job : pending) {
            if (job.pendingTaskCount() > 0
                    && !job.spec.isGang()
                    && job.spec.request().gpus() == 0
                    && round.cluster.overflowJobs.contains(job.spec.id())) {
                overflowJobs.add(job);
            }
        }
        TeamQueues queues = round.teamQueues(overflowJobs);
        for (Job job = queues.next(); job != null; job = queues.next()) {
            arrayPlacer.place(job, true);
        }
    }

    /**
     * Whether the job may overflow and its tasks would leave much of every CPU machine empty. Such a job is placed on
     * CPU machines last, because it may use accelerator machines as well, while other CPU-only jobs may not.
     */
    private boolean packsPoorly(Job job) {
        if (!round.cluster.overflowJobs.contains(job.spec.id())) {
            return false;
        }
        double bestShare = 0;
        for (MachineType type : round.cluster.types()) {
            if (type.capacity().gpus() > 0 || !job.spec.canEverRunOn(type)) {
                continue;
            }
            bestShare = Math.max(
                    bestShare,
                    job.spec.request().countIn(type.capacity())
                            * job.spec.request().dominantShareOf(type.capacity()));
        }
        return bestShare < Constants.MIN_PACKING_SHARE;
    }
}
