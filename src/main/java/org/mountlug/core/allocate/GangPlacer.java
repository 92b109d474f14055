package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/**
 * Places gangs. If all tasks fit on free capacity, the gang starts. If all fit on free or releasing capacity, that capacity
 * is reserved. Otherwise the gang gets nothing.
 */
final class GangPlacer {
    /**
     * Seconds subtracted from the placement cost of the machine on which a task has a reservation, so that the task keeps
     * the machine unless another one is better by more.
     */
    private static final double NOMINATED_MACHINE_BONUS_S = 0.5;

    private final RoundState round;

    GangPlacer(RoundState round) {
        this.round = round;
    }

    /** Places one gang or reserves capacity for it, each task preferably on the machine of its last reservation. */
    void place(Job job) {
        List<Reservation> previousReservations = round.cluster.reservations.getOrDefault(job.spec.id(), List.of());
        if (!previousReservations.isEmpty()) {
            round.unplaceableRequests.clear();
        }
        PlacementTransaction transaction =
                mayStart(job) ? findTransaction(job, nominatedMachines(previousReservations)) : null;
        if (transaction == null) {
            round.releaseReservations(job);
            return;
        }
        round.cluster.reservations.remove(job.spec.id());
        if (transaction.isReady(job.spec.tasks())) {
            round.commit(transaction);
            round.usageByTeam.merge(job.spec.team(), job.spec.totalRequest(), Resources::plus);
        } else {
            round.cluster.reservations.put(job.spec.id(), transaction.toReservations());
        }
    }

    /** Whether every task may be placed now and the whole gang fits its job record and its team's limit. */
    private boolean mayStart(Job job) {
        for (int task = 0; task < job.spec.tasks(); task++) {
            if (!job.needsPlacement(task, round.nowS)) {
                return false; // for example, a failed task must not be retried yet
            }
        }
        if (job.spec.tasks() > round.cluster.remainingRecordTasks(job)) {
            // The job record would exceed the state service's size limit for a value: it could not be written and would
            // delay other records.
            return false;
        }
        Team team = round.cluster.team(job.spec.team());
        Resources used = round.usageByTeam.getOrDefault(job.spec.team(), Resources.ZERO);
        return team == null || team.isWithinLimit(used.plus(job.spec.totalRequest()));
    }

    /** Returns the nominated machine of each task: the one on which the task has a reservation. */
    private static Map<Integer, String> nominatedMachines(List<Reservation> reservations) {
        Map<Integer, String> machineByTask = new HashMap<>();
        for (Reservation reservation : reservations) {
            machineByTask.put(reservation.task(), reservation.machine());
        }
        return machineByTask;
    }

    /**
     * Returns a transaction that allocates or reserves capacity for every task, or null if there is none. A gang that must
     * run in one zone tries one zone after the other.
     */
    private PlacementTransaction findTransaction(Job job, Map<Integer, String> nominatedMachines) {
        for (String zone : zonesToTry(job, nominatedMachines.values())) {
            PlacementTransaction transaction = new PlacementTransaction(job);
            List<Reservation> releasedReservations = new ArrayList<>();
            assignTasks(transaction, zone, nominatedMachines, releasedReservations);
            boolean reservable = !job.failureHistory.isSuspected() && transaction.isReservable(job.spec.tasks());
            if (transaction.isReady(job.spec.tasks()) || reservable) {
                return transaction;
            }
            transaction.discard();
            restoreReservations(job, releasedReservations);
        }
        return null;
    }

    /**
     * Allocates or reserves capacity for each task in turn, until a task finds none.
     *
     * @param releasedReservations receives the previous reservations that were released on the way
     */
    private void assignTasks(
            PlacementTransaction transaction,
            String zone,
            Map<Integer, String> nominatedMachines,
            List<Reservation> releasedReservations) {
        Job job = transaction.job;
        Map<String, Integer> tasksByZone = new HashMap<>();
        for (int task = 0; task < job.spec.tasks(); task++) {
            MachineView machineView =
                    selectMachine(job, zone, tasksByZone, nominatedMachines.get(task), task, releasedReservations);
            if (machineView == null) {
                return;
            }
            tasksByZone.merge(machineView.machine.zone, 1, Integer::sum);
            if (machineView.fitsNow(job.spec.request())) {
                transaction.allocate(task, machineView);
            } else {
                transaction.reserve(task, machineView);
            }
        }
    }

    /**
     * Returns the machine for one task, or null if none fits: the nominated machine if it passes the check, otherwise the
     * best of all machines. Releases the task's previous reservation.
     *
     * @param nominated the machine of the task's previous reservation, or null
     */
    private MachineView selectMachine(
            Job job,
            String zone,
            Map<String, Integer> tasksByZone,
            String nominated,
            int task,
            List<Reservation> releasedReservations) {
        if (nominated == null) {
            return findCheapestMachine(job, zone, tasksByZone, null);
        }
        Resources request = job.spec.request();
        MachineView nominatedView = round.machineViews.get(nominated);
        // The task's own reservation still counts here, so the request must fit in addition to it.
        boolean fitsNominated = nominatedView != null
                && isAllowed(job, nominatedView, zone, tasksByZone)
                && request.fitsIn(nominatedView.futureFree());
        releasedReservations.add(new Reservation(task, nominated));
        if (nominatedView != null) {
            nominatedView.reserved = nominatedView.reserved.minus(request);
        }
        return fitsNominated ? nominatedView : findCheapestMachine(job, zone, tasksByZone, nominated);
    }

    /** Restores the reservations that were released for a zone in which the gang did not fit, before the next zone. */
    private void restoreReservations(Job job, List<Reservation> releasedReservations) {
        for (Reservation reservation : releasedReservations) {
            MachineView machineView = round.machineViews.get(reservation.machine());
            if (machineView != null) {
                machineView.reserved = machineView.reserved.plus(job.spec.request());
            }
        }
    }

    /** Returns the zones to try, those of nominated machines first; a single null stands for all zones together. */
    private List<String> zonesToTry(Job job, Iterable<String> nominatedMachines) {
        List<String> zones = new ArrayList<>();
        if (!job.spec.oneZone()) {
            zones.add(null);
            return zones;
        }
        for (String machine : nominatedMachines) {
            MachineView machineView = round.machineViews.get(machine);
            if (machineView != null && !zones.contains(machineView.machine.zone)) {
                zones.add(machineView.machine.zone);
            }
        }
        for (MachineView machineView : round.machineViews.values()) {
            if (!zones.contains(machineView.machine.zone)) {
                zones.add(machineView.machine.zone);
            }
        }
        return zones;
    }

    /** Whether the job's rules and holds for other gangs allow a task on the machine; null as zone allows every zone. */
    private boolean isAllowed(Job job, MachineView machineView, String zone, Map<String, Integer> tasksByZone) {
        Machine machine = machineView.machine;
        return (machine.heldForGang == null || machine.heldForGang.equals(job.spec.id()))
                && job.spec.allows(machine.type.name(), machine.zone, machine.spot)
                && (zone == null || zone.equals(machine.zone))
                && (!job.spec.spreadAcrossZones()
                        || tasksByZone.getOrDefault(machine.zone, 0) < job.spec.maxTasksPerZone());
    }

    /**
     * Returns the allowed machine with the lowest placement cost among those where a task fits now, else among those
     * where it fits on future free capacity, else null.
     *
     * @param nominated the machine whose cost is lowered by {@code NOMINATED_MACHINE_BONUS_S}, or null
     */
    private MachineView findCheapestMachine(Job job, String zone, Map<String, Integer> tasksByZone, String nominated) {
        MachineView bestNow = null;
        MachineView bestLater = null;
        double bestNowCostS = Double.MAX_VALUE;
        double bestLaterCostS = Double.MAX_VALUE;
        Resources request = job.spec.request();
        for (MachineView machineView : round.machineViews.values()) {
            if (!isAllowed(job, machineView, zone, tasksByZone)) {
                continue;
            }
            double costS = round.placementCostS(job, machineView)
                    - (machineView.machine.name.equals(nominated) ? NOMINATED_MACHINE_BONUS_S : 0);
            if (machineView.fitsNow(request)) {
                if (costS < bestNowCostS) {
                    bestNowCostS = costS;
                    bestNow = machineView;
                }
            } else if (request.fitsIn(machineView.futureFree()) && costS < bestLaterCostS) {
                bestLaterCostS = costS;
                bestLater = machineView;
            }
        }
        return bestNow != null ? bestNow : bestLater;
    }
}
