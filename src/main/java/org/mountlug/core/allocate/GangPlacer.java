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
 * Gangs by the design: all tasks find idle room and start, or all find room that is idle or being released and reserve it, or
 * nothing is kept.
 */
final class GangPlacer {
    /** Seconds of a later start for which a gang's task stays with the machine that it was nominated for. */
    private static final double NOMINATED_S = 0.5;

    private final RoundState view;

    GangPlacer(RoundState view) {
        this.view = view;
    }

    /** Tries one gang, each task on the machine that it was nominated for first. */
    void place(Job job) {
        List<Reservation> before = view.cluster.reservations.getOrDefault(job.spec.id(), List.of());
        if (!before.isEmpty()) {
            view.unplaceableRequests.clear();
        }
        PlacementTransaction statement = mayStart(job) ? statement(job, nominated(before)) : null;
        if (statement == null) {
            view.releaseReservations(job);
            return;
        }
        view.cluster.reservations.remove(job.spec.id());
        if (statement.isReady(job.spec.tasks())) {
            view.commit(statement);
            view.usageByTeam.merge(job.spec.team(), job.spec.totalRequest(), Resources::plus);
        } else {
            view.cluster.reservations.put(job.spec.id(), statement.toReservations());
        }
    }

    /** Whether all of the gang may be placed as far as itself, its record and its team's limit are concerned. */
    private boolean mayStart(Job job) {
        for (int task = 0; task < job.spec.tasks(); task++) {
            if (!job.needsPlacement(task, view.nowS)) {
                return false; // one task still waits out its failure
            }
        }
        if (job.spec.tasks() > view.cluster.remainingRecordTasks(job)) {
            return false; // what no record can hold must not start, and must not keep other records from being written
        }
        Team team = view.cluster.team(job.spec.team());
        Resources used = view.usageByTeam.getOrDefault(job.spec.team(), Resources.ZERO);
        return team == null || team.isWithinLimit(used.plus(job.spec.totalRequest()));
    }

    private static Map<Integer, String> nominated(List<Reservation> reservations) {
        Map<Integer, String> machines = new HashMap<>();
        for (Reservation reservation : reservations) {
            machines.put(reservation.task(), reservation.machine());
        }
        return machines;
    }

    /** The first statement that keeps the gang whole, or null; one zone for all means that every zone is tried on its own. */
    private PlacementTransaction statement(Job job, Map<Integer, String> nominated) {
        for (String zone : zones(job, nominated.values())) {
            PlacementTransaction statement = new PlacementTransaction(job);
            List<Reservation> dropped = new ArrayList<>();
            fill(statement, zone, nominated, dropped);
            boolean pipelined = !job.failureHistory.isSuspected() && statement.isReservable(job.spec.tasks());
            if (statement.isReady(job.spec.tasks()) || pipelined) {
                return statement;
            }
            statement.discard();
            restore(job, dropped);
        }
        return null;
    }

    /** Tries each task in turn, until one finds no room; notes the reservations that were dropped for that. */
    private void fill(
            PlacementTransaction statement, String zone, Map<Integer, String> nominated, List<Reservation> dropped) {
        Job job = statement.job;
        Map<String, Integer> perZone = new HashMap<>();
        for (int task = 0; task < job.spec.tasks(); task++) {
            MachineView node = node(job, zone, perZone, nominated.get(task), task, dropped);
            if (node == null) {
                return;
            }
            perZone.merge(node.machine.zone, 1, Integer::sum);
            if (node.fitsNow(job.spec.request())) {
                statement.allocate(task, node);
            } else {
                statement.reserve(task, node);
            }
        }
    }

    /** The machine for one task: the nominated one if it still covers the task, else by a full scan; null if none does. */
    private MachineView node(
            Job job, String zone, Map<String, Integer> perZone, String nominated, int task, List<Reservation> dropped) {
        if (nominated == null) {
            return scan(job, zone, perZone, null);
        }
        Resources need = job.spec.request();
        MachineView before = view.machineViews.get(nominated);
        // The note's check counts the task's own reservation, which moves from reserved to tried, or is dropped.
        boolean covered = before != null && allowed(job, before, zone, perZone) && need.fitsIn(before.futureFree());
        dropped.add(new Reservation(task, nominated));
        if (before != null) {
            before.reserved = before.reserved.minus(need);
        }
        return covered ? before : scan(job, zone, perZone, nominated);
    }

    /** Reservations dropped for a try that failed are put back for the next zone's try. */
    private void restore(Job job, List<Reservation> dropped) {
        for (Reservation reservation : dropped) {
            MachineView node = view.machineViews.get(reservation.machine());
            if (node != null) {
                node.reserved = node.reserved.plus(job.spec.request());
            }
        }
    }

    private List<String> zones(Job job, Iterable<String> nominated) {
        List<String> zones = new ArrayList<>();
        if (!job.spec.oneZone()) {
            zones.add(null);
            return zones;
        }
        for (String machine : nominated) {
            MachineView node = view.machineViews.get(machine);
            if (node != null && !zones.contains(node.machine.zone)) {
                zones.add(node.machine.zone);
            }
        }
        for (MachineView node : view.machineViews.values()) {
            if (!zones.contains(node.machine.zone)) {
                zones.add(node.machine.zone);
            }
        }
        return zones;
    }

    private boolean allowed(Job job, MachineView node, String zone, Map<String, Integer> perZone) {
        Machine machine = node.machine;
        return (machine.heldForGang == null || machine.heldForGang.equals(job.spec.id()))
                && job.spec.allows(machine.type.name(), machine.zone, machine.spot)
                && (zone == null || zone.equals(machine.zone))
                && (!job.spec.spreadAcrossZones()
                        || perZone.getOrDefault(machine.zone, 0) < job.spec.maxTasksPerZone());
    }

    /** A full scan: idle room first, else future room; the machine nominated before wins a tie. */
    private MachineView scan(Job job, String zone, Map<String, Integer> perZone, String before) {
        MachineView now = null;
        MachineView later = null;
        double nowCost = Double.MAX_VALUE;
        double laterCost = Double.MAX_VALUE;
        Resources need = job.spec.request();
        for (MachineView node : view.machineViews.values()) {
            if (!allowed(job, node, zone, perZone)) {
                continue;
            }
            double cost = view.placementCost(job, node) - (node.machine.name.equals(before) ? NOMINATED_S : 0);
            if (node.fitsNow(need)) {
                if (cost < nowCost) {
                    nowCost = cost;
                    now = node;
                }
            } else if (need.fitsIn(node.futureFree()) && cost < laterCost) {
                laterCost = cost;
                later = node;
            }
        }
        return now != null ? now : later;
    }
}
