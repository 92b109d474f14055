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
    void place(Job job, boolean overflowing) {
        int most = mostTasks(job);
        if (most <= 0 || view.refusedNeeds.covers(job.spec, overflowing)) {
            return;
        }
        List<Node> fitting = fitting(job, overflowing);
        if (fitting.isEmpty()) {
            view.refusedNeeds.add(job.spec, overflowing);
            return;
        }
        new Attempt(job, most).over(fitting, overflowing);
    }

    private int mostTasks(Job job) {
        int most = view.cluster.recordRoom(job);
        if (job.failureHistory.suspected()) {
            // One task at a time tells whether it still fails; more would only take room from others.
            return Math.min(most, job.placed.isEmpty() ? 1 : 0);
        }
        return most;
    }

    /** Machines with room for a task, the cheapest first. */
    private List<Node> fitting(Job job, boolean overflowing) {
        List<Node> fitting = new ArrayList<>();
        Map<Node, Double> costs = new HashMap<>();
        for (Node node : view.nodes.values()) {
            Machine machine = node.machine;
            boolean barred = overflowing && (machine.type.size().gpus() == 0 || machine.noOverflowUntilS > view.nowS);
            if (machine.heldFor == null
                    && !barred
                    && job.spec.allows(machine.type.name(), machine.zone, machine.spot)
                    && node.countNow(job.spec.need(), overflowing) > 0) {
                fitting.add(node);
                costs.put(node, view.cost(job, node));
            }
        }
        fitting.sort(
                Comparator.comparingDouble((Node node) -> costs.get(node)).thenComparing(node -> node.machine.name));
        return fitting;
    }

    /** The placing of one array in one round: task by task, machine by machine, within its zones and its team's limit. */
    private final class Attempt {
        private final Job job;
        private final Resources need;
        private final Team team;
        private final Statement statement;
        private final Map<String, Integer> perZone = new HashMap<>();
        /** The zone of its tasks so far, null while it has none. */
        private String zoneOfAll;

        private Resources usedByTeam;
        private int left;
        private int nextTask;

        Attempt(Job job, int most) {
            this.job = job;
            need = job.spec.need();
            team = view.cluster.team(job.spec.team());
            statement = new Statement(job);
            usedByTeam = view.usage.getOrDefault(job.spec.team(), Resources.ZERO);
            left = most;
            nextTask = job.done.nextClearBit(0);
            if (job.spec.oneZone() || job.spec.apart()) {
                for (Placement placement : job.placed.values()) {
                    perZone.merge(placement.zone, 1, Integer::sum);
                    zoneOfAll = placement.zone;
                }
            }
        }

        void over(List<Node> nodes, boolean overflowing) {
            for (Node node : nodes) {
                boolean otherZone = zoneOfAll != null && !zoneOfAll.equals(node.machine.zone);
                if (job.spec.oneZone() && otherZone) {
                    continue;
                }
                fill(node, node.countNow(need, overflowing));
                if (nextTask >= job.spec.tasks() || left <= 0) {
                    break;
                }
            }
            if (statement.ready(1)) {
                view.usage.put(job.spec.team(), usedByTeam);
                view.commit(statement);
            }
        }

        private void fill(Node node, int count) {
            String zone = node.machine.zone;
            for (int slot = 0; slot < count && left > 0; slot++) {
                findNextTask();
                boolean zoneFull = job.spec.apart() && perZone.getOrDefault(zone, 0) >= job.spec.zoneMost();
                if (nextTask >= job.spec.tasks() || zoneFull) {
                    return;
                }
                if (team != null && !team.allows(usedByTeam.plus(need))) {
                    left = 0;
                    return;
                }
                statement.allocate(nextTask++, node);
                usedByTeam = usedByTeam.plus(need);
                perZone.merge(zone, 1, Integer::sum);
                zoneOfAll = zoneOfAll == null ? zone : zoneOfAll;
                left--;
            }
        }

        private void findNextTask() {
            while (nextTask < job.spec.tasks() && !job.wants(nextTask, view.nowS)) {
                nextTask++;
            }
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
