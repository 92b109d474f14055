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
import org.mountlug.core.zone.ZoneWatch;

/**
 * One round of the design: pipelined gangs first, each task on the machine it is nominated for, then everything
 * pending from the teams' queues.
 */
public final class Allocator {
    private final RoundView view;
    private final GangPlacement gangs;
    private final ArrayPlacement arrays;
    private final ReplicaPlacement replicas;
    private final MachineHolding holding;

    /** Makes the view of the usable machines for one round; {@code dueOrder} sorts jobs within a queue. */
    public Allocator(
            Cluster cluster, ZoneWatch zones, ToDoubleFunction<Job> dueOrder, ReplicaTimes times, double nowS) {
        view = new RoundView(cluster, zones, dueOrder, times, nowS);
        gangs = new GangPlacement(view);
        arrays = new ArrayPlacement(view);
        replicas = new ReplicaPlacement(view);
        holding = new MachineHolding(view);
    }

    /** The view of the machines as this round leaves it. */
    public Map<String, Node> nodes() {
        return view.nodes;
    }

    /** What each team uses, this round included. */
    public Map<String, Resources> usage() {
        return view.usage;
    }

    /** Runs the round on the view.cluster; returns how many tasks were placed. */
    public int round() {
        // Last round's reservations stand in the view before anything is tried.
        for (Map.Entry<String, List<Reservation>> e : view.cluster.reservations.entrySet()) {
            Job j = view.cluster.jobs.get(e.getKey());
            for (Reservation r : e.getValue()) {
                Node n = view.nodes.get(r.machine());
                if (j != null && n != null) {
                    n.pipelined = n.pipelined.plus(j.spec.need());
                }
            }
        }
        holding.review();
        List<Job> pipelined = new ArrayList<>();
        List<Job> pending = new ArrayList<>();
        for (Job j : view.cluster.jobs.values()) {
            boolean gangReady = !j.spec.gang() || j.placed.isEmpty();
            if (j.cancelled || j.open() <= 0 || !gangReady) {
                view.release(j);
                continue;
            }
            (view.cluster.reservations.containsKey(j.spec.id()) ? pipelined : pending).add(j);
        }
        serve(pipelined);
        serve(pending);
        view.cluster.serviceWaits = false;
        for (Job j : pending) {
            view.cluster.serviceWaits |= j.spec.service() && j.open() > 0;
        }
        holding.hold(pending);
        placeOverflow(pending);
        for (Job j : pending) {
            if (!j.spec.gang() && j.open() > 0 && packsBadly(j)) {
                arrays.place(j, false);
            }
        }
        arrays.standby(pending);
        return view.placed();
    }

    private void serve(List<Job> jobs) {
        TeamQueues q = view.queues(jobs);
        for (Job j = q.next(); j != null; j = q.next()) {
            if (j.spec.gang()) {
                gangs.place(j);
            } else if (j.spec.service()) {
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
            if (j.spec.need().gpus() == 0
                    || j.open() <= 0
                    || j.failureHistory.suspected()
                    || view.cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            double share = 1;
            for (Node n : view.nodes.values()) {
                if (j.spec.allows(n.machine.type.name(), n.machine.zone, n.machine.spot)
                        && j.spec.need().fitsIn(n.machine.type.size())) {
                    share = Math.min(share, j.spec.need().shareOf(n.machine.type.size()));
                }
            }
            waiting += Math.min(j.open(), Constants.OVERFLOW_BAR_TASKS) * share;
        }
        List<Node> acceleratorNodes = new ArrayList<>();
        for (Node n : view.nodes.values()) {
            if (n.machine.type.size().gpus() > 0) {
                acceleratorNodes.add(n);
            }
        }
        // The machines with most free accelerators empty first; those barred before stay so.
        acceleratorNodes.sort(Comparator.comparing((Node n) -> n.machine.noOverflowUntilS <= view.nowS)
                .thenComparingDouble(n -> -n.idle.shareOf(n.machine.type.size()))
                .thenComparing(n -> n.machine.name));
        int bar = (int) Math.min(Math.ceil(waiting), Math.ceil(acceleratorNodes.size() * Constants.OVERFLOW_BAR_SHARE));
        for (int i = 0; i < acceleratorNodes.size(); i++) {
            Machine m = acceleratorNodes.get(i).machine;
            if (i < bar) {
                m.noOverflowUntilS = Math.max(m.noOverflowUntilS, view.nowS + Constants.OVERFLOW_BAR_S);
            } else if (waiting == 0) {
                m.noOverflowUntilS = Double.NEGATIVE_INFINITY;
            }
        }
        List<Job> jobs = new ArrayList<>();
        for (Job j : pending) {
            if (j.open() > 0
                    && !j.spec.gang()
                    && j.spec.need().gpus() == 0
                    && view.cluster.overflowing.contains(j.spec.id())) {
                jobs.add(j);
            }
        }
        TeamQueues q = view.queues(jobs);
        for (Job j = q.next(); j != null; j = q.next()) {
            arrays.place(j, true);
        }
    }

    /**
     * Overflowing work of which a cheap machine would hold so few tasks that much of it stays empty: it gets the cheap
     * machines last, as it has the accelerator machines, while what fills the cheap machines has only those.
     */
    private boolean packsBadly(Job j) {
        if (!view.cluster.overflowing.contains(j.spec.id())) {
            return false;
        }
        double best = 0;
        for (MachineType t : view.cluster.types()) {
            if (t.size().gpus() > 0 || !j.spec.allows(t)) {
                continue;
            }
            best = Math.max(
                    best, j.spec.need().countIn(t.size()) * j.spec.need().shareOf(t.size()));
        }
        return best < Constants.PACKS_BADLY;
    }
}
