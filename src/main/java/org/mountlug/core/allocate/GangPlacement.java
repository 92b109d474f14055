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
    private final RoundView view;

    GangPlacement(RoundView view) {
        this.view = view;
    }

    /** Tries one gang, each task on the machine that it was nominated for first. */
    void place(Job j) {
        List<Reservation> old = view.cluster.reservations.getOrDefault(j.spec.id(), List.of());
        if (!old.isEmpty()) {
            view.refusedNeeds.clear();
        }
        Map<Integer, String> nominated = new HashMap<>();
        for (Reservation r : old) {
            nominated.put(r.task(), r.machine());
        }
        for (int t = 0; t < j.spec.tasks(); t++) {
            if (!j.wants(t, view.nowS)) {
                view.release(j);
                return; // one task still waits out its failure
            }
        }
        if (j.spec.tasks() > view.cluster.recordRoom(j)) {
            view.release(j);
            return; // what no record can hold must not start, and must not keep other records from being written
        }
        Resources need = j.spec.need();
        Resources all = new Resources(
                need.cpus() * j.spec.tasks(), need.gpus() * j.spec.tasks(), need.ramGb() * j.spec.tasks());
        Team team = view.cluster.team(j.spec.team());
        Resources used = view.usage.getOrDefault(j.spec.team(), Resources.ZERO);
        if (team != null && !team.allows(used.plus(all))) {
            view.release(j);
            return;
        }
        Statement best = null;
        // One zone for all: every zone is tried on its own, the nominated one first.
        for (String zone : zones(j, nominated.values())) {
            Statement s = new Statement(j);
            List<Reservation> dropped = new ArrayList<>();
            Map<String, Integer> perZone = new HashMap<>();
            for (int t = 0; t < j.spec.tasks(); t++) {
                String nom = nominated.get(t);
                Node on = nom == null ? null : view.nodes.get(nom);
                if (on != null && allowed(j, on, zone, perZone) && need.fitsIn(on.future())) {
                    // The note's check counts the task's own reservation; it moves from reserved to tried.
                    dropped.add(new Reservation(t, nom));
                    on.pipelined = on.pipelined.minus(need);
                } else {
                    if (nom != null) {
                        dropped.add(new Reservation(t, nom));
                        if (on != null) {
                            on.pipelined = on.pipelined.minus(need);
                        }
                    }
                    on = scan(j, zone, perZone, nom);
                }
                if (on == null) {
                    break;
                }
                perZone.merge(on.machine.zone, 1, Integer::sum);
                if (on.fitsNow(need)) {
                    s.allocate(t, on);
                } else {
                    s.pipeline(t, on);
                }
            }
            boolean ready = s.ready(j.spec.tasks());
            if (ready || best == null && !j.failureHistory.suspected() && s.pipelined(j.spec.tasks())) {
                if (best != null) {
                    best.discard();
                }
                best = s;
                for (Reservation r : dropped) {
                    nominated.remove(r.task());
                }
                if (ready) {
                    break;
                }
            } else {
                s.discard();
                // Reservations dropped for a try that failed are put back for the next zone's try.
                for (Reservation r : dropped) {
                    Node n = view.nodes.get(r.machine());
                    if (n != null) {
                        n.pipelined = n.pipelined.plus(need);
                    }
                }
            }
            if (best != null) {
                break;
            }
        }
        if (best == null) {
            view.release(j);
            return;
        }
        view.cluster.reservations.remove(j.spec.id());
        if (best.ready(j.spec.tasks())) {
            view.commit(best);
            view.usage.merge(j.spec.team(), all, Resources::plus);
        } else {
            view.cluster.reservations.put(j.spec.id(), best.reserve());
        }
    }

    private List<String> zones(Job j, Iterable<String> nominated) {
        List<String> l = new ArrayList<>();
        if (!j.spec.oneZone()) {
            l.add(null);
            return l;
        }
        for (String m : nominated) {
            Node n = view.nodes.get(m);
            if (n != null && !l.contains(n.machine.zone)) {
                l.add(n.machine.zone);
            }
        }
        for (Node n : view.nodes.values()) {
            if (!l.contains(n.machine.zone)) {
                l.add(n.machine.zone);
            }
        }
        return l;
    }

    private boolean allowed(Job j, Node n, String zone, Map<String, Integer> perZone) {
        Machine m = n.machine;
        return (m.heldFor == null || m.heldFor.equals(j.spec.id()))
                && j.spec.allows(m.type.name(), m.zone, m.spot)
                && (zone == null || zone.equals(m.zone))
                && (!j.spec.apart() || perZone.getOrDefault(m.zone, 0) < j.spec.zoneMost());
    }

    /** A full scan: idle room first, else future room; the machine nominated before wins a tie. */
    private Node scan(Job j, String zone, Map<String, Integer> perZone, String before) {
        Node now = null;
        Node later = null;
        double nowCost = Double.MAX_VALUE;
        double laterCost = Double.MAX_VALUE;
        Resources need = j.spec.need();
        for (Node n : view.nodes.values()) {
            if (!allowed(j, n, zone, perZone)) {
                continue;
            }
            double c = view.cost(j, n) - (n.machine.name.equals(before) ? 0.5 : 0);
            if (n.fitsNow(need)) {
                if (c < nowCost) {
                    nowCost = c;
                    now = n;
                }
            } else if (need.fitsIn(n.future()) && c < laterCost) {
                laterCost = c;
                later = n;
            }
        }
        return now != null ? now : later;
    }
}
