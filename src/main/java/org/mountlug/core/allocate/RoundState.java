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

/** What one round sees and changes: the usable machines, what teams use, and what is known to find no room. */
final class RoundState {
    final Cluster cluster;
    final ReplicaStartTimes replicaStartTimes;
    final double nowS;
    final Map<String, MachineView> machineViews = new LinkedHashMap<>();
    final Map<String, Resources> usageByTeam;
    /** The room of all usable machines together. */
    final Resources totalCapacity;

    final double lowestPricePerHour;
    final UnplaceableRequests unplaceableRequests = new UnplaceableRequests();
    private final ToDoubleFunction<Job> dueOrder;
    /** The order of all work while a zone is not present, else null. */
    private final DisplacementOrder displacement;

    private int placedCount;

    RoundState(
            Cluster cluster, ZoneMonitor zones, ToDoubleFunction<Job> dueOrder, ReplicaStartTimes times, double nowS) {
        this.cluster = cluster;
        this.dueOrder = dueOrder;
        this.displacement = zones.displacementOrder(dueOrder);
        this.replicaStartTimes = times;
        this.nowS = nowS;
        this.usageByTeam = cluster.usageByTeam();
        Map<String, StartBudget> budgets = zones.startBudgets();
        Resources all = Resources.ZERO;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isSchedulable() && zones.acceptsWork(machine.zone)) {
                MachineType type = machine.type;
                MachineView node = new MachineView(
                        machine, cluster.preemptingAcceleratorHostDemand(type), cluster.acceleratorHostDemand(type));
                node.setStartBudget(budgets.get(machine.zone));
                machineViews.put(machine.name, node);
                all = all.plus(type.capacity());
            }
        }
        totalCapacity = all;
        double least = Double.MAX_VALUE;
        for (MachineType type : cluster.types()) {
            least = Math.min(least, type.onDemandPricePerHour());
        }
        lowestPricePerHour = Math.max(least, 1e-6);
    }

    /** How many tasks this round has placed. */
    int placedCount() {
        return placedCount;
    }

    /** The jobs in the order in which they are served. */
    TeamQueues teamQueues(Iterable<Job> jobs) {
        return new TeamQueues(jobs, dueOrder, displacement, cluster::team, usageByTeam, totalCapacity, nowS);
    }

    /** Drops a job's reservations. */
    void releaseReservations(Job j) {
        List<Reservation> old = cluster.reservations.remove(j.spec.id());
        if (old == null) {
            return;
        }
        for (Reservation r : old) {
            unpipeline(j, r);
        }
    }

    private void unpipeline(Job j, Reservation r) {
        MachineView n = machineViews.get(r.machine());
        if (n != null) {
            n.reserved = n.reserved.minus(j.spec.request());
            unplaceableRequests.clear();
        }
    }

    /** Lower is better: seconds of fetching, then machines that are busy already, so that others fall idle. */
    double placementCost(Job j, MachineView n) {
        Machine m = n.machine;
        double c =
                m.cachedImages.contains(j.spec.image()) ? 0 : j.spec.imageGb() / Math.max(0.01, m.type.fetchGbPerS());
        if (j.spec.request().gpus() == 0 && m.type.capacity().gpus() > 0) {
            c += 30;
        }
        if (j.failureHistory.failedMachines().contains(m.name)) {
            c += Constants.JOB_FAILURE_PENALTY_S;
        }
        c += 4 * (1 - n.utilization()) + 5 * m.failureCount();
        return c;
    }

    /** Makes placements of what was tried. */
    void commit(PlacementTransaction s) {
        Job j = s.job;
        long attempt = ++j.lastAttempt;
        for (PlacementTransaction.Assignment o : s.assignments()) {
            cluster.place(j, o.task(), attempt, o.machineView().machine, nowS);
            o.machineView().machine.idleSinceS = nowS;
            placedCount++;
        }
        if (j.spec.isGang()) {
            cluster.addEvent("placed gangs", j.spec.id() + " after " + Math.round(nowS - j.waitingSinceS) + " s");
        }
    }
}
