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
 * One round of the design: pipelined gangs first, each task on the machine it is nominated for, then everything
 * pending from the teams' queues.
 */
public final class Allocator {
    private final RoundState view;
    private final GangPlacer gangs;
    private final ArrayPlacer arrays;
    private final ReplicaPlacer replicas;
    private final GangMachineHolds holding;

    /** Makes the view of the usable machines for one round; {@code dueOrder} sorts jobs within a queue. */
    public Allocator(
            Cluster cluster, ZoneMonitor zones, ToDoubleFunction<Job> orderKey, ReplicaStartTimes times, double nowS) {
        view = new RoundState(cluster, zones, orderKey, times, nowS);
        gangs = new GangPlacer(view);
        arrays = new ArrayPlacer(view);
        replicas = new ReplicaPlacer(view);
        holding = new GangMachineHolds(view);
    }

    /** The view of the machines as this round leaves it. */
    public Map<String, MachineView> machineViews() {
        return view.machineViews;
    }

    /** What each team uses, this round included. */
    public Map<String, Resources> usage() {
        return view.usageByTeam;
    }

    /** Runs the round on the view.cluster; returns how many tasks were placed. */
    public int allocate() {
        // Last round's reservations stand in the view before anything is tried.
        for (Map.Entry<String, List<Reservation>> e : view.cluster.reservations.entrySet()) {
            Job j = view.cluster.jobs.get(e.getKey());
            for (Reservation r : e.getValue()) {
                MachineView n = view.machineViews.get(r.machine());
                if (j != null && n != null) {
                    n.reserved = n.reserved.plus(j.spec.request());
                }
            }
        }
        holding.releaseUnneeded();
        List<Job> pipelined = new ArrayList<>();
        List<Job> pending = new ArrayList<>();
        for (Job j : view.cluster.jobs.values()) {
            boolean gangReady = !j.spec.isGang() || j.placements.isEmpty();
            if (j.cancelled || j.pendingTaskCount() <= 0 || !gangReady) {
                view.releaseReservations(j);
                continue;
            }
            (view.cluster.reservations.containsKey(j.spec.id()) ? pipelined : pending).add(j);
        }
        serve(pipelined);
        serve(pending);
        view.cluster.serviceWaiting = false;
        for (Job j : pending) {
            view.cluster.serviceWaiting |= j.spec.isService() && j.pendingTaskCount() > 0;
        }
        holding.holdMachines(pending);
        placeOverflow(pending);
        for (Job j : pending) {
            if (!j.spec.isGang() && j.pendingTaskCount() > 0 && packsBadly(j)) {
                arrays.place(j, false);
            }
        }
        arrays.placeOnStandby(pending);
        return view.placedCount();
    }

    private void serve(List<Job> jobs) {
        TeamQueues q = view.teamQueues(jobs);
        for (Job j = q.next(); j != null; j = q.next()) {
            if (j.spec.isGang()) {
                gangs.place(j);
            } else if (j.spec.isService()) {
                replicas.place(j);
            } else if (!packsBadly(j)) {
                arrays.place(j, false);
            }
        }
    }

    /**
     * Work that the cheap machines cannot serve in time gets what accelerator work leaves on accelerator machines. Where
     * accelerator work waits, some machines are barred from it, so that they empty as short tasks end: without that,
     * view.whole-machine gangs would starve behind a stream of small tasks.
     */
    private void placeOverflow(List<Job> pending) {
        double waiting = 0;
        for (Job j : pending) {
            if (j.spec.request().gpus() == 0
                    || j.pendingTaskCount() <= 0
                    || j.failureHistory.isSuspected()
                    || view.cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            double share = 1;
            for (MachineView n : view.machineViews.values()) {
                if (j.spec.allows(n.machine.type.name(), n.machine.zone, n.machine.spot)
                        && j.spec.request().fitsIn(n.machine.type.capacity())) {
                    share = Math.min(share, j.spec.request().dominantShareOf(n.machine.type.capacity()));
                }
            }
            waiting += Math.min(j.pendingTaskCount(), Constants.OVERFLOW_BLOCK_TASKS) * share;
        }
        List<MachineView> acceleratorNodes = new ArrayList<>();
        for (MachineView n : view.machineViews.values()) {
            if (n.machine.type.capacity().gpus() > 0) {
                acceleratorNodes.add(n);
            }
        }
        // The machines with most free accelerators empty first; those barred before stay so.
        acceleratorNodes.sort(Comparator.comparing((MachineView n) -> n.machine.noOverflowUntilS <= view.nowS)
                .thenComparingDouble(n -> -n.free.dominantShareOf(n.machine.type.capacity()))
                .thenComparing(n -> n.machine.name));
        int bar =
                (int) Math.min(Math.ceil(waiting), Math.ceil(acceleratorNodes.size() * Constants.OVERFLOW_BLOCK_SHARE));
        for (int i = 0; i < acceleratorNodes.size(); i++) {
            Machine m = acceleratorNodes.get(i).machine;
            if (i < bar) {
                m.noOverflowUntilS = Math.max(m.noOverflowUntilS, view.nowS + Constants.OVERFLOW_BLOCK_S);
            } else if (waiting == 0) {
                m.noOverflowUntilS = Double.NEGATIVE_INFINITY;
            }
        }
        List<Job> jobs = new ArrayList<>();
        for (Job j : pending) {
            if (j.pendingTaskCount() > 0
                    && !j.spec.isGang()
                    && j.spec.request().gpus() == 0
                    && view.cluster.overflowJobs.contains(j.spec.id())) {
                jobs.add(j);
            }
        }
        TeamQueues q = view.teamQueues(jobs);
        for (Job j = q.next(); j != null; j = q.next()) {
            arrays.place(j, true);
        }
    }

    /**
     * Overflowing work of which a cheap machine would hold so few tasks that much of it stays empty: it gets the cheap
     * machines last, as it has the accelerator machines, while what fills the cheap machines has only those.
     */
    private boolean packsBadly(Job j) {
        if (!view.cluster.overflowJobs.contains(j.spec.id())) {
            return false;
        }
        double best = 0;
        for (MachineType t : view.cluster.types()) {
            if (t.capacity().gpus() > 0 || !j.spec.canEverRunOn(t)) {
                continue;
            }
            best = Math.max(
                    best,
                    j.spec.request().countIn(t.capacity()) * j.spec.request().dominantShareOf(t.capacity()));
        }
        return best < Constants.MIN_PACKING_SHARE;
    }
}
