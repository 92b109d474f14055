package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/** Array tasks, each for itself: on room that is idle now, or on room that running tasks are about to leave. */
final class ArrayPlacement {
    private final RoundView view;

    ArrayPlacement(RoundView view) {
        this.view = view;
    }

    /** Places what there is room for; {@code overflowing} work may have whole accelerator machines. */
    void place(Job j, boolean overflowing) {
        Resources need = j.spec.need();
        Team team = view.cluster.team(j.spec.team());
        Resources used = view.usage.getOrDefault(j.spec.team(), Resources.ZERO);
        int budget = view.cluster.recordRoom(j);
        if (j.failureHistory.suspected()) {
            // One task at a time tells whether it still fails; more would only take room from others.
            budget = Math.min(budget, j.placed.isEmpty() ? 1 : 0);
        }
        if (budget <= 0 || view.refusedNeeds.covers(j.spec, overflowing)) {
            return;
        }
        List<Node> fit = new ArrayList<>();
        for (Node n : view.nodes.values()) {
            if (n.machine.heldFor != null) {
                continue;
            }
            if (overflowing && (n.machine.type.size().gpus() == 0 || n.machine.noOverflowUntilS > view.nowS)) {
                continue;
            }
            if (j.spec.allows(n.machine.type.name(), n.machine.zone, n.machine.spot)
                    && n.countNow(need, overflowing) > 0) {
                fit.add(n);
            }
        }
        if (fit.isEmpty()) {
            view.refusedNeeds.add(j.spec, overflowing);
            return;
        }
        Map<Node, Double> costs = new HashMap<>();
        for (Node n : fit) {
            costs.put(n, view.cost(j, n));
        }
        fit.sort(Comparator.comparingDouble((Node n) -> costs.get(n)).thenComparing(n -> n.machine.name));
        Statement s = new Statement(j);
        Map<String, Integer> perZone = new HashMap<>();
        String only = null;
        if (j.spec.oneZone() || j.spec.apart()) {
            for (Placement p : j.placed.values()) {
                perZone.merge(p.zone, 1, Integer::sum);
                only = p.zone;
            }
        }
        int task = j.done.nextClearBit(0);
        for (Node n : fit) {
            String zone = n.machine.zone;
            if (j.spec.oneZone() && only != null && !only.equals(zone)) {
                continue;
            }
            int k = n.countNow(need, overflowing);
            while (k > 0 && budget > 0) {
                while (task < j.spec.tasks() && !j.wants(task, view.nowS)) {
                    task++;
                }
                if (task >= j.spec.tasks()) {
                    break;
                }
                if (j.spec.apart() && perZone.getOrDefault(zone, 0) >= j.spec.zoneMost()) {
                    break;
                }
                if (team != null && !team.allows(used.plus(need))) {
                    budget = 0;
                    break;
                }
                s.allocate(task++, n);
                used = used.plus(need);
                perZone.merge(zone, 1, Integer::sum);
                if (only == null) {
                    only = zone;
                }
                k--;
                budget--;
            }
            if (task >= j.spec.tasks() || budget <= 0) {
                break;
            }
        }
        if (s.ready(1)) {
            view.usage.put(j.spec.team(), used);
            view.commit(s);
        }
    }

    /**
     * Room that running tasks are about to leave is given to queued array tasks ahead of time: written now, started in
     * the answer to the very report that shows the room free. Without it each slot idles from one report to the next
     * between two tasks, which for tasks of some seconds is a good part of the fleet. It is the design's pipelining
     * for tasks that wait for nothing but room.
     */
    void standby(List<Job> pending) {
        List<Job> jobs = new ArrayList<>();
        for (Job j : pending) {
            if (!j.spec.gang()
                    && !j.spec.service()
                    && !j.spec.apart()
                    && !j.failureHistory.suspected()
                    && j.open() > 0) {
                jobs.add(j);
            }
        }
        if (jobs.isEmpty()) {
            return;
        }
        Map<Node, Resources> soon = new LinkedHashMap<>();
        for (Node n : view.nodes.values()) {
            // On accelerator machines room is fought over by priority, and a gang wants several slots at once.
            if (n.machine.type.size().gpus() > 0
                    || n.machine.heldFor != null
                    || n.limited()
                    || !n.pipelined.isZero()
                    || !n.machine.strays.isEmpty()) {
                continue;
            }
            Resources r = Resources.ZERO;
            for (Placement p : n.machine.placed.values()) {
                if (p.standby) {
                    r = r.minus(p.job.spec.need());
                } else if (!Double.isNaN(p.runningS) && !p.stopping) {
                    double left = view.cluster.expectedS(p.job) - (view.nowS - p.runningS);
                    if (left < Constants.STANDBY_AHEAD_S) {
                        r = r.plus(p.job.spec.need());
                    }
                }
            }
            if (r.cpus() > 0) {
                soon.put(n, r);
            }
        }
        TeamQueues q = view.queues(jobs);
        for (Job j = q.next(); j != null && !soon.isEmpty(); j = q.next()) {
            standby(j, soon);
        }
    }

    private void standby(Job j, Map<Node, Resources> soon) {
        Resources need = j.spec.need();
        Team team = view.cluster.team(j.spec.team());
        int budget = view.cluster.recordRoom(j);
        int task = j.done.nextClearBit(0);
        boolean any = false;
        for (Map.Entry<Node, Resources> e : soon.entrySet()) {
            Machine m = e.getKey().machine;
            if (!j.spec.allows(m.type.name(), m.zone, m.spot)) {
                continue;
            }
            while (budget > 0 && need.fitsIn(e.getValue()) && j.zoneAllows(m.zone, 1)) {
                while (task < j.spec.tasks() && !j.wants(task, view.nowS)) {
                    task++;
                }
                if (task >= j.spec.tasks()) {
                    return;
                }
                Resources used =
                        view.usage.getOrDefault(j.spec.team(), Resources.ZERO).plus(need);
                if (team != null && !team.allows(used)) {
                    return;
                }
                if (!any) {
                    any = true;
                    j.attempts++;
                }
                view.cluster.place(j, task, j.attempts, m, view.nowS).standby = true;
                view.usage.put(j.spec.team(), used);
                e.setValue(e.getValue().minus(need));
                budget--;
            }
        }
    }
}
