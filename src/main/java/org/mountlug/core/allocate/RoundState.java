package org.mountlug.core.allocate;

import java.util.LinkedHashMap;
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
import org.mountlug.core.zone.DisplacementOrder;
import org.mountlug.core.zone.StartBudget;
import org.mountlug.core.zone.ZoneMonitor;

/** State shared within one round: the views of the usable machines, the teams' usage and the unplaceable requests. */
final class RoundState {
    final Cluster cluster;
    final ReplicaStartTimes replicaStartTimes;
    final double nowS;
    final Map<String, MachineView> machineViews = new LinkedHashMap<>();
    final Map<String, Resources> usageByTeam;
    /** Capacity of all usable machines together. */
    final Resources totalCapacity;

    final double lowestPricePerHour;
    final UnplaceableRequests unplaceableRequests = new UnplaceableRequests();
    private final ToDoubleFunction<Job> orderKey;
    /** Order of all work while a zone is not in state {@code PRESENT}, else null. */
    private final DisplacementOrder displacement;

    private int placedCount;

    RoundState(
            Cluster cluster,
            ZoneMonitor zones,
            ToDoubleFunction<Job> orderKey,
            ReplicaStartTimes replicaStartTimes,
            double nowS) {
        this.cluster = cluster;
        this.orderKey = orderKey;
        this.displacement = zones.displacementOrder(orderKey);
        this.replicaStartTimes = replicaStartTimes;
        this.nowS = nowS;
        this.usageByTeam = cluster.usageByTeam();
        Map<String, StartBudget> startBudgets = zones.startBudgets();
        Resources capacity = Resources.ZERO;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isSchedulable() && zones.acceptsWork(machine.zone)) {
                MachineType type = machine.type;
                MachineView machineView = new MachineView(
                        machine, cluster.preemptingAcceleratorHostDemand(type), cluster.acceleratorHostDemand(type));
                machineView.setStartBudget(startBudgets.get(machine.zone));
                machineViews.put(machine.name, machineView);
                capacity = capacity.plus(type.capacity());
            }
        }
        totalCapacity = capacity;
        double lowestPrice = Double.MAX_VALUE;
        for (MachineType type : cluster.types()) {
            lowestPrice = Math.min(lowestPrice, type.onDemandPricePerHour());
        }
        lowestPricePerHour = Math.max(lowestPrice, 1e-6);
    }

    /** Returns how many tasks this round has placed. */
    int placedCount() {
        return placedCount;
    }

    /** Returns queues that yield the jobs in the order in which they are to be placed. */
    TeamQueues teamQueues(Iterable<Job> jobs) {
        return new TeamQueues(jobs, orderKey, displacement, cluster::team, usageByTeam, totalCapacity, nowS);
    }

    /** Removes a job's reservations and returns their capacity to the machine views. */
    void releaseReservations(Job job) {
        List<Reservation> released = cluster.reservations.remove(job.spec.id());
        if (released == null) {
            return;
        }
        for (Reservation reservation : released) {
            returnReservedCapacity(job, reservation);
        }
    }

    private void returnReservedCapacity(Job job, Reservation reservation) {
        MachineView machineView = machineViews.get(reservation.machine());
        if (machineView != null) {
            machineView.reserved = machineView.reserved.minus(job.spec.request());
            unplaceableRequests.clear();
        }
    }

    /**
     * Returns the cost of placing a task on a machine, in seconds of a later start; lower is better. It is made of the
     * image fetch, penalties for CPU-only work on accelerator machines and for failures, and a small preference for
     * machines in use, so that others fall idle.
     */
    double placementCostS(Job job, MachineView machineView) {
        Machine machine = machineView.machine;
        double costS = machine.cachedImages.contains(job.spec.image())
                ? 0
                : job.spec.imageGb() / Math.max(0.01, machine.type.fetchGbPerS());
        if (job.spec.request().gpus() == 0 && machine.type.capacity().gpus() > 0) {
            costS += 30;
        }
        if (job.failureHistory.failedMachines().contains(machine.name)) {
            costS += Constants.JOB_FAILURE_PENALTY_S;
        }
        costS += 4 * (1 - machineView.utilization()) + 5 * machine.failureCount();
        return costS;
    }

    /** Records the assignments of a transaction as placements, all with one new attempt number. */
    void commit(PlacementTransaction transaction) {
        Job job = transaction.job;
        long attempt = ++job.lastAttempt;
        for (PlacementTransaction.Assignment assignment : transaction.assignments()) {
            cluster.place(job, assignment.task(), attempt, assignment.machineView().machine, nowS);
            assignment.machineView().machine.idleSinceS = nowS;
            placedCount++;
        }
        if (job.spec.isGang()) {
            cluster.addEvent("placed gangs", job.spec.id() + " after " + Math.round(nowS - job.waitingSinceS) + " s");
        }
    }
}
