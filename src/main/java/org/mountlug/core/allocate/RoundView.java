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
import org.mountlug.core.zone.ZoneWatch;

/** What one round sees and changes: the usable machines, what teams use, and what is known to find no room. */
final class RoundView {
    final Cluster cluster;
    final ReplicaTimes times;
    final double nowS;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, Resources> usage;
    /** The room of all usable machines together. */
    final Resources whole;

    final double cheapestPrice;
    final RefusedNeeds refusedNeeds = new RefusedNeeds();
    private final ToDoubleFunction<Job> dueOrder;
    /** The order of all work while a zone is not present, else null. */
    private final DisplacementOrder displacement;

    private int placed;

    RoundView(Cluster cluster, ZoneWatch zones, ToDoubleFunction<Job> dueOrder, ReplicaTimes times, double nowS) {
        this.cluster = cluster;
        this.dueOrder = dueOrder;
        this.displacement = zones.order(dueOrder);
        this.times = times;
        this.nowS = nowS;
        this.usage = cluster.usage();
        Map<String, StartBudget> budgets = zones.budgets();
        Resources all = Resources.ZERO;
        for (Machine machine : cluster.machines.values()) {
            if (machine.usable() && zones.admits(machine.zone)) {
                MachineType type = machine.type;
                Node node = new Node(machine, cluster.acceleratorShare(type), cluster.acceleratorShareOfAll(type));
                node.limit(budgets.get(machine.zone));
                nodes.put(machine.name, node);
                all = all.plus(type.size());
            }
        }
        whole = all;
        double least = Double.MAX_VALUE;
        for (MachineType type : cluster.types()) {
            least = Math.min(least, type.price());
        }
        cheapestPrice = Math.max(least, 1e-6);
    }

    /** How many tasks this round has placed. */
    int placed() {
        return placed;
    }

    /** The jobs in the order in which they are served. */
    TeamQueues queues(Iterable<Job> jobs) {
        return new TeamQueues(jobs, dueOrder, displacement, cluster::team, usage, whole, nowS);
    }

    /** Drops a job's reservations. */
    void release(Job j) {
        List<Reservation> old = cluster.reservations.remove(j.spec.id());
        if (old == null) {
            return;
        }
        for (Reservation r : old) {
            unpipeline(j, r);
        }
    }

    private void unpipeline(Job j, Reservation r) {
        Node n = nodes.get(r.machine());
        if (n != null) {
            n.pipelined = n.pipelined.minus(j.spec.need());
            refusedNeeds.clear();
        }
    }

    /** Lower is better: seconds of fetching, then machines that are busy already, so that others fall idle. */
    double cost(Job j, Node n) {
        Machine m = n.machine;
        double c = m.images.contains(j.spec.image()) ? 0 : j.spec.imageGb() / Math.max(0.01, m.type.fetchGbPerS());
        if (j.spec.need().gpus() == 0 && m.type.size().gpus() > 0) {
            c += 30;
        }
        if (j.failureHistory.machines().contains(m.name)) {
            c += Constants.FAILED_HERE_S;
        }
        c += 4 * (1 - n.busyShare()) + 5 * m.failures();
        return c;
    }

    /** Makes placements of what was tried. */
    void commit(Statement s) {
        Job j = s.job;
        long attempt = ++j.attempts;
        for (Statement.Op o : s.ops()) {
            cluster.place(j, o.task(), attempt, o.node().machine, nowS);
            o.node().machine.idleSinceS = nowS;
            placed++;
        }
        if (j.spec.gang()) {
            cluster.event("placed gangs", j.spec.id() + " after " + Math.round(nowS - j.seenS) + " s");
        }
    }
}
