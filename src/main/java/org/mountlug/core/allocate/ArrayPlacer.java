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
final class ArrayPlacer {
    private final RoundState view;

    ArrayPlacer(RoundState view) {
        this.view = view;
    }

    /** Places what there is room for; {@code overflowing} work may have whole accelerator machines. */
    void place(Job job, boolean overflowing) {
        int most = mostTasks(job);
        if (most <= 0 || view.unplaceableRequests.includes(job.spec, overflowing)) {
            return;
        }
        List<MachineView> fitting = fitting(job, overflowing);
        if (fitting.isEmpty()) {
            view.unplaceableRequests.add(job.spec, overflowing);
            return;
        }
        new Attempt(job, most).over(fitting, overflowing);
    }

    private int mostTasks(Job job) {
        int most = view.cluster.remainingRecordTasks(job);
        if (job.failureHistory.isSuspected()) {
            // One task at a time tells whether it still fails; more would only take room from others.
            return Math.min(most, job.placements.isEmpty() ? 1 : 0);
        }
        return most;
    }

    /** Machines with room for a task, the cheapest first. */
    private List<MachineView> fitting(Job job, boolean overflowing) {
        List<MachineView> fitting = new ArrayList<>();
        Map<MachineView, Double> costs = new HashMap<>();
        for (MachineView node : view.machineViews.values()) {
            Machine machine = node.machine;
            boolean barred =
                    overflowing && (machine.type.capacity().gpus() == 0 || machine.noOverflowUntilS > view.nowS);
            if (machine.heldForGang == null
                    && !barred
                    && job.spec.allows(machine.type.name(), machine.zone, machine.spot)
                    && node.countFittingNow(job.spec.request(), overflowing) > 0) {
                fitting.add(node);
                costs.put(node, view.placementCost(job, node));
            }
        }
        fitting.sort(Comparator.comparingDouble((MachineView node) -> costs.get(node))
                .thenComparing(node -> node.machine.name));
        return fitting;
    }

    /** The placing of one array in one round: task by task, machine by machine, within its zones and its team's limit. */
    private final class Attempt {
        private final Job job;
        private final Resources need;
        private final Team team;
        private final PlacementTransaction statement;
        private final Map<String, Integer> perZone = new HashMap<>();
        /** The zone of its tasks so far, null while it has none. */
        private String zoneOfAll;

        private Resources usedByTeam;
        private int left;
        private int nextTask;

        Attempt(Job job, int most) {
            this.job = job;
            need = job.spec.request();
            team = view.cluster.team(job.spec.team());
            statement = new PlacementTransaction(job);
            usedByTeam = view.usageByTeam.getOrDefault(job.spec.team(), Resources.ZERO);
            left = most;
            nextTask = job.doneTasks.nextClearBit(0);
            if (job.spec.oneZone() || job.spec.spreadAcrossZones()) {
                for (Placement placement : job.placements.values()) {
                    perZone.merge(placement.zone, 1, Integer::sum);
                    zoneOfAll = placement.zone;
                }
            }
        }

        void over(List<MachineView> nodes, boolean overflowing) {
            for (MachineView node : nodes) {
                boolean otherZone = zoneOfAll != null && !zoneOfAll.equals(node.machine.zone);
                if (job.spec.oneZone() && otherZone) {
                    continue;
                }
                fill(node, node.countFittingNow(need, overflowing));
                if (nextTask >= job.spec.tasks() || left <= 0) {
                    break;
                }
            }
            if (statement.isReady(1)) {
                view.usageByTeam.put(job.spec.team(), usedByTeam);
                view.commit(statement);
            }
        }

        private void fill(MachineView node, int count) {
            String zone = node.machine.zone;
            for (int slot = 0; slot < count && left > 0; slot++) {
                findNextTask();
                boolean zoneFull =
                        job.spec.spreadAcrossZones() && perZone.getOrDefault(zone, 0) >= job.spec.maxTasksPerZone();
                if (nextTask >= job.spec.tasks() || zoneFull) {
                    return;
                }
                if (team != null && !team.isWithinLimit(usedByTeam.plus(need))) {
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
            while (nextTask < job.spec.tasks() && !job.needsPlacement(nextTask, view.nowS)) {
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
    void placeOnStandby(List<Job> pending) {
        List<Job> jobs = new ArrayList<>();
        for (Job j : pending) {
            if (!j.spec.isGang()
                    && !j.spec.isService()
                    && !j.spec.spreadAcrossZones()
                    && !j.failureHistory.isSuspected()
                    && j.pendingTaskCount() > 0) {
                jobs.add(j);
            }
        }
        if (jobs.isEmpty()) {
            return;
        }
        Map<MachineView, Resources> soon = new LinkedHashMap<>();
        for (MachineView n : view.machineViews.values()) {
            // On accelerator machines room is fought over by priority, and a gang wants several slots at once.
            if (n.machine.type.capacity().gpus() > 0
                    || n.machine.heldForGang != null
                    || n.hasStartBudget()
                    || !n.reserved.isZero()
                    || !n.machine.orphans.isEmpty()) {
                continue;
            }
            Resources r = Resources.ZERO;
            for (Placement p : n.machine.placements.values()) {
                if (p.standby) {
                    r = r.minus(p.job.spec.request());
                } else if (!Double.isNaN(p.runningSinceS) && !p.stopping) {
                    double left = view.cluster.expectedRunS(p.job) - (view.nowS - p.runningSinceS);
                    if (left < Constants.STANDBY_LEAD_TIME_S) {
                        r = r.plus(p.job.spec.request());
                    }
                }
            }
            if (r.cpus() > 0) {
                soon.put(n, r);
            }
        }
        TeamQueues q = view.teamQueues(jobs);
        for (Job j = q.next(); j != null && !soon.isEmpty(); j = q.next()) {
            placeOnStandby(j, soon);
        }
    }

    private void placeOnStandby(Job j, Map<MachineView, Resources> soon) {
        Resources need = j.spec.request();
        Team team = view.cluster.team(j.spec.team());
        int budget = view.cluster.remainingRecordTasks(j);
        int task = j.doneTasks.nextClearBit(0);
        boolean any = false;
        for (Map.Entry<MachineView, Resources> e : soon.entrySet()) {
            Machine m = e.getKey().machine;
            if (!j.spec.allows(m.type.name(), m.zone, m.spot)) {
                continue;
            }
            while (budget > 0 && need.fitsIn(e.getValue()) && j.zoneRulesAllow(m.zone, 1)) {
                while (task < j.spec.tasks() && !j.needsPlacement(task, view.nowS)) {
                    task++;
                }
                if (task >= j.spec.tasks()) {
                    return;
                }
                Resources used = view.usageByTeam
                        .getOrDefault(j.spec.team(), Resources.ZERO)
                        .plus(need);
                if (team != null && !team.isWithinLimit(used)) {
                    return;
                }
                if (!any) {
                    any = true;
                    j.lastAttempt++;
                }
                view.cluster.place(j, task, j.lastAttempt, m, view.nowS).standby = true;
                view.usageByTeam.put(j.spec.team(), used);
                e.setValue(e.getValue().minus(need));
                budget--;
            }
        }
    }
}
