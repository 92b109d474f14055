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
final class GangPlacement {
    /** Seconds of a later start for which a gang's task stays with the machine that it was nominated for. */
    private static final double NOMINATED_S = 0.5;

    private final RoundView view;

    GangPlacement(RoundView view) {
        this.view = view;
    }

    /** Tries one gang, each task on the machine that it was nominated for first. */
    void place(Job job) {
        List<Reservation> before = view.cluster.reservations.getOrDefault(job.spec.id(), List.of());
        if (!before.isEmpty()) {
            view.refusedNeeds.clear();
        }
        Statement statement = mayStart(job) ? statement(job, nominated(before)) : null;
        if (statement == null) {
            view.release(job);
            return;
        }
        view.cluster.reservations.remove(job.spec.id());
        if (statement.ready(job.spec.tasks())) {
            view.commit(statement);
            view.usage.merge(job.spec.team(), job.spec.whole(), Resources::plus);
        } else {
            view.cluster.reservations.put(job.spec.id(), statement.reserve());
        }
    }

    /** Whether all of the gang may be placed as far as itself, its record and its team's limit are concerned. */
    private boolean mayStart(Job job) {
        for (int task = 0; task < job.spec.tasks(); task++) {
            if (!job.wants(task, view.nowS)) {
                return false; // one task still waits out its failure
            }
        }
        if (job.spec.tasks() > view.cluster.recordRoom(job)) {
            return false; // what no record can hold must not start, and must not keep other records from being written
        }
        Team team = view.cluster.team(job.spec.team());
        Resources used = view.usage.getOrDefault(job.spec.team(), Resources.ZERO);
        return team == null || team.allows(used.plus(job.spec.whole()));
    }

    private static Map<Integer, String> nominated(List<Reservation> reservations) {
        Map<Integer, String> machines = new HashMap<>();
        for (Reservation reservation : reservations) {
            machines.put(reservation.task(), reservation.machine());
        }
        return machines;
    }

    /** The first statement that keeps the gang whole, or null; one zone for all means that every zone is tried on its own. */
    private Statement statement(Job job, Map<Integer, String> nominated) {
        for (String zone : zones(job, nominated.values())) {
            Statement statement = new Statement(job);
            List<Reservation> dropped = new ArrayList<>();
            fill(statement, zone, nominated, dropped);
            boolean pipelined = !job.failureHistory.suspected() && statement.pipelined(job.spec.tasks());
            if (statement.ready(job.spec.tasks()) || pipelined) {
                return statement;
            }
            statement.discard();
            restore(job, dropped);
        }
        return null;
    }

    /** Tries each task in turn, until one finds no room; notes the reservations that were dropped for that. */
    private void fill(Statement statement, String zone, Map<Integer, String> nominated, List<Reservation> dropped) {
        Job job = statement.job;
        Map<String, Integer> perZone = new HashMap<>();
        for (int task = 0; task < job.spec.tasks(); task++) {
            Node node = node(job, zone, perZone, nominated.get(task), task, dropped);
            if (node == null) {
                return;
            }
            perZone.merge(node.machine.zone, 1, Integer::sum);
            if (node.fitsNow(job.spec.need())) {
                statement.allocate(task, node);
            } else {
                statement.pipeline(task, node);
            }
        }
    }

    /** The machine for one task: the nominated one if it still covers the task, else by a full scan; null if none does. */
    private Node node(
            Job job, String zone, Map<String, Integer> perZone, String nominated, int task, List<Reservation> dropped) {
        if (nominated == null) {
            return scan(job, zone, perZone, null);
        }
        Resources need = job.spec.need();
        Node before = view.nodes.get(nominated);
        // The note's check counts the task's own reservation, which moves from reserved to tried, or is dropped.
        boolean covered = before != null && allowed(job, before, zone, perZone) && need.fitsIn(before.future());
        dropped.add(new Reservation(task, nominated));
        if (before != null) {
            before.pipelined = before.pipelined.minus(need);
        }
        return covered ? before : scan(job, zone, perZone, nominated);
    }

    /** Reservations dropped for a try that failed are put back for the next zone's try. */
    private void restore(Job job, List<Reservation> dropped) {
        for (Reservation reservation : dropped) {
            Node node = view.nodes.get(reservation.machine());
            if (node != null) {
                node.pipelined = node.pipelined.plus(job.spec.need());
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
            Node node = view.nodes.get(machine);
            if (node != null && !zones.contains(node.machine.zone)) {
                zones.add(node.machine.zone);
            }
        }
        for (Node node : view.nodes.values()) {
            if (!zones.contains(node.machine.zone)) {
                zones.add(node.machine.zone);
            }
        }
        return zones;
    }

    private boolean allowed(Job job, Node node, String zone, Map<String, Integer> perZone) {
        Machine machine = node.machine;
        return (machine.heldFor == null || machine.heldFor.equals(job.spec.id()))
                && job.spec.allows(machine.type.name(), machine.zone, machine.spot)
                && (zone == null || zone.equals(machine.zone))
                && (!job.spec.apart() || perZone.getOrDefault(machine.zone, 0) < job.spec.zoneMost());
    }

    /** A full scan: idle room first, else future room; the machine nominated before wins a tie. */
    private Node scan(Job job, String zone, Map<String, Integer> perZone, String before) {
        Node now = null;
        Node later = null;
        double nowCost = Double.MAX_VALUE;
        double laterCost = Double.MAX_VALUE;
        Resources need = job.spec.need();
        for (Node node : view.nodes.values()) {
            if (!allowed(job, node, zone, perZone)) {
                continue;
            }
            double cost = view.cost(job, node) - (node.machine.name.equals(before) ? NOMINATED_S : 0);
            if (node.fitsNow(need)) {
                if (cost < nowCost) {
                    nowCost = cost;
                    now = node;
                }
            } else if (need.fitsIn(node.future()) && cost < laterCost) {
                laterCost = cost;
                later = node;
            }
        }
        return now != null ? now : later;
    }
}
