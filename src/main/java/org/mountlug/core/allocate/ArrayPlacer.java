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

/** Places array tasks independently of each other, on free capacity or on capacity that running tasks should soon free. */
final class ArrayPlacer {
    private final RoundState round;

    ArrayPlacer(RoundState round) {
        this.round = round;
    }

    /**
     * Places as many tasks of an array as fit now.
     *
     * @param overflowing whether to place the tasks only on accelerator machines, which they may then fill entirely
     */
    void place(Job job, boolean overflowing) {
        int maxTasks = maxTasksToPlace(job);
        if (maxTasks <= 0 || round.unplaceableRequests.includes(job.spec, overflowing)) {
            return;
        }
        List<MachineView> fitting = findFittingMachines(job, overflowing);
        if (fitting.isEmpty()) {
            round.unplaceableRequests.add(job.spec, overflowing);
            return;
        }
        new ArrayPlacement(job, maxTasks).placeOn(fitting, overflowing);
    }

    private int maxTasksToPlace(Job job) {
        int maxTasks = round.cluster.remainingRecordTasks(job);
        if (job.failureHistory.isSuspected()) {
            // One running task shows whether a suspected job still fails; more would take capacity from other jobs.
            return Math.min(maxTasks, job.placements.isEmpty() ? 1 : 0);
        }
        return maxTasks;
    }

    /** Returns the machines that can run a task of the job now, those with the lowest placement cost first. */
    private List<MachineView> findFittingMachines(Job job, boolean overflowing) {
        List<MachineView> fitting = new ArrayList<>();
        Map<MachineView, Double> costsS = new HashMap<>();
        for (MachineView machineView : round.machineViews.values()) {
            Machine machine = machineView.machine;
            boolean excludedForOverflow =
                    overflowing && (machine.type.capacity().gpus() == 0 || machine.noOverflowUntilS > round.nowS);
            if (machine.heldForGang == null
                    && !excludedForOverflow
                    && job.spec.allows(machine.type.name(), machine.zone, machine.spot)
                    && machineView.countFittingNow(job.spec.request(), overflowing) > 0) {
                fitting.add(machineView);
                costsS.put(machineView, round.placementCostS(job, machineView));
            }
        }
        fitting.sort(Comparator.comparingDouble((MachineView machineView) -> costsS.get(machineView))
                .thenComparing(machineView -> machineView.machine.name));
        return fitting;
    }

    /** Places the tasks of one array in one round, within the job's zone rules and its team's limit. */
    private final class ArrayPlacement {
        private final Job job;
        private final Resources request;
        private final Team team;
        private final PlacementTransaction transaction;
        private final Map<String, Integer> tasksByZone = new HashMap<>();
        /** Zone of a placed task, used only if all tasks must run in one zone; null while no task is placed. */
        private String placedZone;

        private Resources usedByTeam;
        private int remainingTasks;
        private int nextTask;

        ArrayPlacement(Job job, int maxTasks) {
            this.job = job;
            request = job.spec.request();
            team = round.cluster.team(job.spec.team());
            transaction = new PlacementTransaction(job);
            usedByTeam = round.usageByTeam.getOrDefault(job.spec.team(), Resources.ZERO);
            remainingTasks = maxTasks;
            nextTask = job.doneTasks.nextClearBit(0);
            if (job.spec.oneZone() || job.spec.spreadAcrossZones()) {
                for (Placement placement : job.placements.values()) {
                    tasksByZone.merge(placement.zone, 1, Integer::sum);
                    placedZone = placement.zone;
                }
            }
        }

        void placeOn(List<MachineView> candidates, boolean overflowing) {
            for (MachineView machineView : candidates) {
                boolean otherZone = placedZone != null && !placedZone.equals(machineView.machine.zone);
                if (job.spec.oneZone() && otherZone) {
                    continue;
                }
                placeOnMachine(machineView, machineView.countFittingNow(request, overflowing));
                if (nextTask >= job.spec.tasks() || remainingTasks <= 0) {
                    break;
                }
            }
            if (transaction.isReady(1)) {
                round.usageByTeam.put(job.spec.team(), usedByTeam);
                round.commit(transaction);
            }
        }

        private void placeOnMachine(MachineView machineView, int fittingCount) {
            String zone = machineView.machine.zone;
            for (int placed = 0; placed < fittingCount && remainingTasks > 0; placed++) {
                skipToNextTask();
                boolean zoneFull =
                        job.spec.spreadAcrossZones() && tasksByZone.getOrDefault(zone, 0) >= job.spec.maxTasksPerZone();
                if (nextTask >= job.spec.tasks() || zoneFull) {
                    return;
                }
                if (team != null && !team.isWithinLimit(usedByTeam.plus(request))) {
                    remainingTasks = 0;
                    return;
                }
                transaction.allocate(nextTask++, machineView);
                usedByTeam = usedByTeam.plus(request);
                tasksByZone.merge(zone, 1, Integer::sum);
                placedZone = placedZone == null ? zone : placedZone;
                remainingTasks--;
            }
        }

        private void skipToNextTask() {
            while (nextTask < job.spec.tasks() && !job.needsPlacement(nextTask, round.nowS)) {
                nextTask++;
            }
        }
    }

    /**
     * Places array tasks on standby, on capacity that running tasks should free soon. The placement is persisted now and the
     * task is started in the response to the report that shows the capacity free. Otherwise the capacity would stay idle
     * from one report to the next between two tasks, which for tasks of a few seconds is a large part of the fleet.
     */
    void placeOnStandby(List<Job> pending) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : pending) {
            if (!job.spec.isGang()
                    && !job.spec.isService()
                    && !job.spec.spreadAcrossZones()
                    && !job.failureHistory.isSuspected()
                    && job.pendingTaskCount() > 0) {
                jobs.add(job);
            }
        }
        if (jobs.isEmpty()) {
            return;
        }
        Map<MachineView, Resources> expectedCapacities = new LinkedHashMap<>();
        for (MachineView machineView : round.machineViews.values()) {
            // Accelerator machines get no standbys: jobs compete for them by priority, and gangs need capacity for
            // several tasks at once.
            if (machineView.machine.type.capacity().gpus() > 0
                    || machineView.machine.heldForGang != null
                    || machineView.hasStartBudget()
                    || !machineView.reserved.isZero()
                    || !machineView.machine.orphans.isEmpty()) {
                continue;
            }
            Resources expectedCapacity = Resources.ZERO;
            for (Placement placement : machineView.machine.placements.values()) {
                if (placement.standby) {
                    expectedCapacity = expectedCapacity.minus(placement.job.spec.request());
                } else if (!Double.isNaN(placement.runningSinceS) && !placement.stopping) {
                    double remainingS =
                            round.cluster.expectedRunS(placement.job) - (round.nowS - placement.runningSinceS);
                    if (remainingS < Constants.STANDBY_LEAD_TIME_S) {
                        expectedCapacity = expectedCapacity.plus(placement.job.spec.request());
                    }
                }
            }
            if (expectedCapacity.cpus() > 0) {
                expectedCapacities.put(machineView, expectedCapacity);
            }
        }
        TeamQueues queues = round.teamQueues(jobs);
        for (Job job = queues.next(); job != null && !expectedCapacities.isEmpty(); job = queues.next()) {
            placeOnStandby(job, expectedCapacities);
        }
    }

    /** Places tasks of one job on standby and subtracts their requests from the expected capacity of their machines. */
    private void placeOnStandby(Job job, Map<MachineView, Resources> expectedCapacities) {
        Resources request = job.spec.request();
        Team team = round.cluster.team(job.spec.team());
        int remainingTasks = round.cluster.remainingRecordTasks(job);
        int task = job.doneTasks.nextClearBit(0);
        boolean attemptNumbered = false;
        for (Map.Entry<MachineView, Resources> entry : expectedCapacities.entrySet()) {
            Machine machine = entry.getKey().machine;
            if (!job.spec.allows(machine.type.name(), machine.zone, machine.spot)) {
                continue;
            }
            while (remainingTasks > 0 && request.fitsIn(entry.getValue()) && job.zoneRulesAllow(machine.zone, 1)) {
                while (task < job.spec.tasks() && !job.needsPlacement(task, round.nowS)) {
                    task++;
                }
                if (task >= job.spec.tasks()) {
                    return;
                }
                Resources usedByTeam = round.usageByTeam
                        .getOrDefault(job.spec.team(), Resources.ZERO)
                        .plus(request);
                if (team != null && !team.isWithinLimit(usedByTeam)) {
                    return;
                }
                if (!attemptNumbered) {
                    attemptNumbered = true;
                    job.lastAttempt++;
                }
                round.cluster.place(job, task, job.lastAttempt, machine, round.nowS).standby = true;
                round.usageByTeam.put(job.spec.team(), usedByTeam);
                entry.setValue(entry.getValue().minus(request));
                remainingTasks--;
            }
        }
    }
}
