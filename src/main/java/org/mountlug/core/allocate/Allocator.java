package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/**
 * One round of the design: pipelined gangs first, each task on the machine it is nominated for, then everything
 * pending from the teams' queues.
 */
public final class Allocator {
    private final Cluster cluster;
    private final ToDoubleFunction<Job> dueOrder;
    private final ReplicaTimes times;
    private final double nowS;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Resources> usage;
    private final Resources whole;
    private final double cheapestPrice;
    private final RefusedNeeds refusedNeeds = new RefusedNeeds();
    private int placedCount;

    /** Makes the view of the usable machines for one round; {@code dueOrder} sorts jobs within a queue. */
    public Allocator(Cluster cluster, ToDoubleFunction<Job> dueOrder, ReplicaTimes times, double nowS) {
        this.cluster = cluster;
        this.times = times;
        this.dueOrder = dueOrder;
        this.nowS = nowS;
        this.usage = cluster.usage();
        Resources w = Resources.ZERO;
        for (Machine m : cluster.machines.values()) {
            if (!m.usable()) {
                continue;
            }
            nodes.put(m.name, new Node(m, cluster.acceleratorShare(m.type), cluster.acceleratorShareOfAll(m.type)));
            w = w.plus(m.type.size());
        }
        whole = w;
        double least = Double.MAX_VALUE;
        for (MachineType t : cluster.types()) {
            least = Math.min(least, t.price());
        }
        cheapestPrice = Math.max(least, 1e-6);
    }

    /** The view of the machines as this round leaves it. */
    public Map<String, Node> nodes() {
        return nodes;
    }

    /** What each team uses, this round included. */
    public Map<String, Resources> usage() {
        return usage;
    }

    /** Runs the round on the cluster; returns how many tasks were placed. */
    public int round() {
        // Last round's reservations stand in the view before anything is tried.
        for (Map.Entry<String, List<Reservation>> e : cluster.reservations.entrySet()) {
            Job j = cluster.jobs.get(e.getKey());
            for (Reservation r : e.getValue()) {
                Node n = nodes.get(r.machine());
                if (j != null && n != null) {
                    n.pipelined = n.pipelined.plus(j.spec.need());
                }
            }
        }
        for (Machine m : cluster.machines.values()) {
            Job j = m.heldFor == null ? null : cluster.jobs.get(m.heldFor);
            if (j == null || j.cancelled || !j.placed.isEmpty() || cluster.reservations.containsKey(m.heldFor)) {
                m.heldFor = null;
            }
        }
        List<Job> pipelined = new ArrayList<>();
        List<Job> pending = new ArrayList<>();
        for (Job j : cluster.jobs.values()) {
            boolean gangReady = !j.spec.gang() || j.placed.isEmpty();
            if (j.cancelled || j.open() <= 0 || !gangReady) {
                release(j);
                continue;
            }
            (cluster.reservations.containsKey(j.spec.id()) ? pipelined : pending).add(j);
        }
        serve(pipelined);
        serve(pending);
        cluster.serviceWaits = false;
        for (Job j : pending) {
            cluster.serviceWaits |= j.spec.service() && j.open() > 0;
        }
        hold(pending);
        placeOverflow(pending);
        for (Job j : pending) {
            if (!j.spec.gang() && j.open() > 0 && packsBadly(j)) {
                array(j, false);
            }
        }
        standby(pending);
        return placedCount;
    }

    /**
     * A gang that found neither idle nor releasing room keeps the machines that should be free first from being filled
     * again. The design reserves room that tasks were told to leave; this does the same for room that tasks are about
     * to leave by themselves, without which a gang of whole machines starves behind a stream of small tasks.
     */
    private void hold(List<Job> pending) {
        for (Job j : pending) {
            if (!j.spec.gang()
                    || !j.placed.isEmpty()
                    || j.failureHistory.suspected()
                    || cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            int missing = j.spec.tasks();
            String zone = null;
            for (Node n : nodes.values()) {
                if (j.spec.id().equals(n.machine.heldFor)) {
                    missing--;
                    zone = n.machine.zone;
                }
            }
            while (missing-- > 0) {
                Node best = null;
                double soonest = Constants.MACHINE_HELD_MAX_S;
                for (Node n : nodes.values()) {
                    Machine m = n.machine;
                    if (m.heldFor != null || j.spec.oneZone() && zone != null && !zone.equals(m.zone)) {
                        continue;
                    }
                    if (!j.spec.allows(m.type.name(), m.zone, m.spot)
                            || !j.spec.need().fitsIn(m.type.size())) {
                        continue;
                    }
                    double t = freeInS(n, j.spec.need());
                    if (t < soonest) {
                        soonest = t;
                        best = n;
                    }
                }
                if (best == null) {
                    break;
                }
                best.machine.heldFor = j.spec.id();
                zone = best.machine.zone;
            }
        }
    }

    /** Seconds until a machine should have this much room, if it gets nothing new. */
    private double freeInS(Node n, Resources need) {
        List<Placement> l = new ArrayList<>(n.machine.placed.values());
        Map<Placement, Double> left = new HashMap<>();
        for (Placement p : l) {
            double ran = Double.isNaN(p.runningS) ? 0 : nowS - p.runningS;
            left.put(p, Math.max(1, cluster.expectedS(p.job) - ran));
        }
        l.sort(Comparator.comparingDouble(left::get));
        Resources room = n.idle.minus(n.pipelined);
        double t = 0;
        for (Placement p : l) {
            if (need.fitsIn(room)) {
                break;
            }
            room = room.plus(p.job.spec.need());
            t = left.get(p);
        }
        return need.fitsIn(room) ? t : Double.MAX_VALUE;
    }

    /**
     * Work that the cheap machines cannot serve in time gets what accelerator work leaves on accelerator machines. Where
     * accelerator work waits, some machines are barred from it, so that they empty as short tasks end: without that,
     * whole-machine gangs would starve behind a stream of small tasks.
     */
    private void placeOverflow(List<Job> pending) {
        double waiting = 0;
        for (Job j : pending) {
            if (j.spec.need().gpus() == 0
                    || j.open() <= 0
                    || j.failureHistory.suspected()
                    || cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            double share = 1;
            for (Node n : nodes.values()) {
                if (j.spec.allows(n.machine.type.name(), n.machine.zone, n.machine.spot)
                        && j.spec.need().fitsIn(n.machine.type.size())) {
                    share = Math.min(share, j.spec.need().shareOf(n.machine.type.size()));
                }
            }
            waiting += Math.min(j.open(), Constants.OVERFLOW_BAR_TASKS) * share;
        }
        List<Node> acceleratorNodes = new ArrayList<>();
        for (Node n : nodes.values()) {
            if (n.machine.type.size().gpus() > 0) {
                acceleratorNodes.add(n);
            }
        }
        // The machines with most free accelerators empty first; those barred before stay so.
        acceleratorNodes.sort(Comparator.comparing((Node n) -> n.machine.noOverflowUntilS <= nowS)
                .thenComparingDouble(n -> -n.idle.shareOf(n.machine.type.size()))
                .thenComparing(n -> n.machine.name));
        int bar = (int) Math.min(Math.ceil(waiting), Math.ceil(acceleratorNodes.size() * Constants.OVERFLOW_BAR_SHARE));
        for (int i = 0; i < acceleratorNodes.size(); i++) {
            Machine m = acceleratorNodes.get(i).machine;
            if (i < bar) {
                m.noOverflowUntilS = Math.max(m.noOverflowUntilS, nowS + Constants.OVERFLOW_BAR_S);
            } else if (waiting == 0) {
                m.noOverflowUntilS = Double.NEGATIVE_INFINITY;
            }
        }
        List<Job> jobs = new ArrayList<>();
        for (Job j : pending) {
            if (j.open() > 0
                    && !j.spec.gang()
                    && j.spec.need().gpus() == 0
                    && cluster.overflowing.contains(j.spec.id())) {
                jobs.add(j);
            }
        }
        TeamQueues q = new TeamQueues(jobs, dueOrder, cluster::team, usage, whole, nowS);
        for (Job j = q.next(); j != null; j = q.next()) {
            array(j, true);
        }
    }

    /**
     * Room that running tasks are about to leave is given to queued array tasks ahead of time: written now, started in
     * the answer to the very report that shows the room free. Without it each slot idles from one report to the next
     * between two tasks, which for tasks of some seconds is a good part of the fleet. It is the design's pipelining
     * for tasks that wait for nothing but room.
     */
    private void standby(List<Job> pending) {
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
        for (Node n : nodes.values()) {
            // On accelerator machines room is fought over by priority, and a gang wants several slots at once.
            if (n.machine.type.size().gpus() > 0
                    || n.machine.heldFor != null
                    || !n.pipelined.isZero()
                    || !n.machine.strays.isEmpty()) {
                continue;
            }
            Resources r = Resources.ZERO;
            for (Placement p : n.machine.placed.values()) {
                if (p.standby) {
                    r = r.minus(p.job.spec.need());
                } else if (!Double.isNaN(p.runningS) && !p.stopping) {
                    double left = cluster.expectedS(p.job) - (nowS - p.runningS);
                    if (left < Constants.STANDBY_AHEAD_S) {
                        r = r.plus(p.job.spec.need());
                    }
                }
            }
            if (r.cpus() > 0) {
                soon.put(n, r);
            }
        }
        TeamQueues q = new TeamQueues(jobs, dueOrder, cluster::team, usage, whole, nowS);
        for (Job j = q.next(); j != null && !soon.isEmpty(); j = q.next()) {
            standby(j, soon);
        }
    }

    private void standby(Job j, Map<Node, Resources> soon) {
        Resources need = j.spec.need();
        Team team = cluster.team(j.spec.team());
        int budget = cluster.recordRoom(j);
        int task = j.done.nextClearBit(0);
        boolean any = false;
        for (Map.Entry<Node, Resources> e : soon.entrySet()) {
            Machine m = e.getKey().machine;
            if (!j.spec.allows(m.type.name(), m.zone, m.spot)) {
                continue;
            }
            while (budget > 0 && need.fitsIn(e.getValue()) && j.zoneAllows(m.zone, 1)) {
                while (task < j.spec.tasks() && !j.wants(task, nowS)) {
                    task++;
                }
                if (task >= j.spec.tasks()) {
                    return;
                }
                Resources used =
                        usage.getOrDefault(j.spec.team(), Resources.ZERO).plus(need);
                if (team != null && !team.allows(used)) {
                    return;
                }
                if (!any) {
                    any = true;
                    j.attempts++;
                }
                cluster.place(j, task, j.attempts, m, nowS).standby = true;
                usage.put(j.spec.team(), used);
                e.setValue(e.getValue().minus(need));
                budget--;
            }
        }
    }

    /**
     * Overflowing work of which a cheap machine would hold so few tasks that much of it stays empty: it gets the cheap
     * machines last, as it has the accelerator machines, while what fills the cheap machines has only those.
     */
    private boolean packsBadly(Job j) {
        if (!cluster.overflowing.contains(j.spec.id())) {
            return false;
        }
        double best = 0;
        for (MachineType t : cluster.types()) {
            if (t.size().gpus() > 0 || !j.spec.allows(t)) {
                continue;
            }
            best = Math.max(
                    best, j.spec.need().countIn(t.size()) * j.spec.need().shareOf(t.size()));
        }
        return best < Constants.PACKS_BADLY;
    }

    private void serve(List<Job> jobs) {
        TeamQueues q = new TeamQueues(jobs, dueOrder, cluster::team, usage, whole, nowS);
        for (Job j = q.next(); j != null; j = q.next()) {
            if (j.spec.gang()) {
                gang(j);
            } else if (j.spec.service()) {
                service(j);
            } else if (!packsBadly(j)) {
                array(j, false);
            }
        }
    }

    private void release(Job j) {
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

    private void gang(Job j) {
        List<Reservation> old = cluster.reservations.getOrDefault(j.spec.id(), List.of());
        if (!old.isEmpty()) {
            refusedNeeds.clear();
        }
        Map<Integer, String> nominated = new HashMap<>();
        for (Reservation r : old) {
            nominated.put(r.task(), r.machine());
        }
        for (int t = 0; t < j.spec.tasks(); t++) {
            if (!j.wants(t, nowS)) {
                release(j);
                return; // one task still waits out its failure
            }
        }
        if (j.spec.tasks() > cluster.recordRoom(j)) {
            release(j);
            return; // what no record can hold must not start, and must not keep other records from being written
        }
        Resources need = j.spec.need();
        Resources all = new Resources(
                need.cpus() * j.spec.tasks(), need.gpus() * j.spec.tasks(), need.ramGb() * j.spec.tasks());
        Team team = cluster.team(j.spec.team());
        Resources used = usage.getOrDefault(j.spec.team(), Resources.ZERO);
        if (team != null && !team.allows(used.plus(all))) {
            release(j);
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
                Node on = nom == null ? null : nodes.get(nom);
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
                    Node n = nodes.get(r.machine());
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
            release(j);
            return;
        }
        cluster.reservations.remove(j.spec.id());
        if (best.ready(j.spec.tasks())) {
            commit(best);
            usage.merge(j.spec.team(), all, Resources::plus);
        } else {
            cluster.reservations.put(j.spec.id(), best.reserve());
        }
    }

    private List<String> zones(Job j, Iterable<String> nominated) {
        List<String> l = new ArrayList<>();
        if (!j.spec.oneZone()) {
            l.add(null);
            return l;
        }
        for (String m : nominated) {
            Node n = nodes.get(m);
            if (n != null && !l.contains(n.machine.zone)) {
                l.add(n.machine.zone);
            }
        }
        for (Node n : nodes.values()) {
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
        for (Node n : nodes.values()) {
            if (!allowed(j, n, zone, perZone)) {
                continue;
            }
            double c = cost(j, n) - (n.machine.name.equals(before) ? 0.5 : 0);
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

    /** Lower is better: seconds of fetching, then machines that are busy already, so that others fall idle. */
    private double cost(Job j, Node n) {
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

    private void array(Job j, boolean overflowing) {
        Resources need = j.spec.need();
        Team team = cluster.team(j.spec.team());
        Resources used = usage.getOrDefault(j.spec.team(), Resources.ZERO);
        int budget = cluster.recordRoom(j);
        if (j.failureHistory.suspected()) {
            // One task at a time tells whether it still fails; more would only take room from others.
            budget = Math.min(budget, j.placed.isEmpty() ? 1 : 0);
        }
        if (budget <= 0 || refusedNeeds.covers(j.spec, overflowing)) {
            return;
        }
        List<Node> fit = new ArrayList<>();
        for (Node n : nodes.values()) {
            if (n.machine.heldFor != null) {
                continue;
            }
            if (overflowing && (n.machine.type.size().gpus() == 0 || n.machine.noOverflowUntilS > nowS)) {
                continue;
            }
            if (j.spec.allows(n.machine.type.name(), n.machine.zone, n.machine.spot)
                    && n.countNow(need, overflowing) > 0) {
                fit.add(n);
            }
        }
        if (fit.isEmpty()) {
            refusedNeeds.add(j.spec, overflowing);
            return;
        }
        Map<Node, Double> costs = new HashMap<>();
        for (Node n : fit) {
            costs.put(n, cost(j, n));
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
                while (task < j.spec.tasks() && !j.wants(task, nowS)) {
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
            usage.put(j.spec.team(), used);
            commit(s);
        }
    }

    /**
     * Each replica for itself, as its user misses it for itself: where it runs soonest, and beside as few others of the
     * same service as may be, so that the loss of a machine is a small loss.
     */
    private void service(Job j) {
        JobSpec spec = j.spec;
        Team team = cluster.team(spec.team());
        Resources used = usage.getOrDefault(spec.team(), Resources.ZERO);
        int budget = cluster.recordRoom(j);
        Map<String, Integer> perZone = new HashMap<>();
        Map<String, Integer> perMachine = new HashMap<>();
        String only = null;
        for (Placement p : j.placed.values()) {
            perZone.merge(p.zone, 1, Integer::sum);
            perMachine.merge(p.machine, 1, Integer::sum);
            if (spec.oneZone()) {
                only = p.zone;
            }
        }
        Statement s = new Statement(j);
        Node warm = j.placed.isEmpty() && spec.tasks() >= Constants.WARMING_TASKS ? warming(j) : null;
        for (int t = 0; t < spec.tasks() && budget > 0; t++) {
            if (!j.wants(t, nowS)) {
                continue;
            }
            if (team != null && !team.allows(used.plus(spec.need()))) {
                break;
            }
            Node best = null;
            if (warm != null
                    && t == spec.tasks() - 1
                    && (!spec.apart() || perZone.getOrDefault(warm.machine.zone, 0) < spec.zoneMost())) {
                best = warm;
            }
            double least = Double.MAX_VALUE;
            if (best == null) {
                for (Node n : nodes.values()) {
                    Machine m = n.machine;
                    if (m.heldFor != null || !spec.allows(m.type.name(), m.zone, m.spot)) {
                        continue;
                    }
                    if (only != null && !only.equals(m.zone)) {
                        continue;
                    }
                    if (spec.apart() && perZone.getOrDefault(m.zone, 0) >= spec.zoneMost()) {
                        continue;
                    }
                    // Room on a cheap machine, made by stopping what ends anyway, is worth a moment.
                    if (times.mayWait(j)
                            && (spec.need().gpus() == 0 && m.type.size().gpus() > 0 || times.lateS(j, m) > 0)) {
                        continue;
                    }
                    if (n.countBeside(spec.need()) < 1) {
                        continue;
                    }
                    double c = replicaCost(j, t, n) + Constants.REPLICAS_APART_S * perMachine.getOrDefault(m.name, 0);
                    if (c < least || c == least && m.name.compareTo(best.machine.name) < 0) {
                        least = c;
                        best = n;
                    }
                }
            }
            if (best == null) {
                break;
            }
            s.allocate(t, best);
            used = used.plus(spec.need());
            perZone.merge(best.machine.zone, 1, Integer::sum);
            perMachine.merge(best.machine.name, 1, Integer::sum);
            if (spec.oneZone()) {
                only = best.machine.zone;
            }
            budget--;
        }
        if (s.ready(1)) {
            usage.put(spec.team(), used);
            commit(s);
        }
    }

    /**
     * Where every cheap machine would make an image's first replicas late, all of them would go to accelerator machines, and so
     * would those of the next service, as no cheap machine ever got the image. So one replica of many goes to the
     * cheapest place a replica that holds most of them, late as it is, until two such machines have the image.
     */
    private Node warming(Job j) {
        JobSpec s = j.spec;
        if (s.oneZone() || s.need().gpus() > 0) {
            return null;
        }
        Node best = null;
        int most = 0;
        int warm = 0;
        for (Node n : nodes.values()) {
            Machine m = n.machine;
            if (m.type.size().gpus() > 0 || m.heldFor != null || !s.allows(m.type.name(), m.zone, m.spot)) {
                continue;
            }
            int holds = s.need().countIn(m.type.size());
            if (times.lateS(j, m) <= 0 && !m.images.contains(s.image())) {
                return null; // cold ones are no trouble
            }
            if (times.fetchS(j, m) < s.imageGb() / Math.max(0.01, m.type.fetchGbPerS())) {
                if (holds >= s.tasks()) {
                    warm++;
                }
            } else if (holds > most && n.countBeside(s.need()) > 0) {
                most = holds;
                best = n;
            }
        }
        return warm < Constants.WARM_PLACES ? best : null;
    }

    /**
     * Lower is better. Seconds count little up to when the replica should run, and much from then on; what it costs to
     * keep an expensive machine for it lies between, as a replica stays for as long as its user orders.
     */
    private double replicaCost(Job j, int task, Node n) {
        Machine m = n.machine;
        double c = times.fetchS(j, m) * Constants.EARLIER_WORTH + times.lateS(j, m) * Constants.LATER_COST;
        boolean first = true;
        for (Placement p : m.placed.values()) {
            first &= !p.job.spec.service();
        }
        // The first replica keeps the whole machine from being returned; those that join it cost nothing more.
        if (first) {
            c += Math.min(Constants.KEPT_MOST_S, m.type.price(m.spot) / cheapestPrice * Constants.KEPT_S);
        }
        if (m.name.equals(j.avoid.get(task))) {
            c += Constants.ENDED_HERE_S;
        }
        return c + 2 * (1 - n.busyShare()) + 5 * m.failures();
    }

    private void commit(Statement s) {
        Job j = s.job;
        long attempt = ++j.attempts;
        for (Statement.Op o : s.ops()) {
            cluster.place(j, o.task(), attempt, o.node().machine, nowS);
            o.node().machine.idleSinceS = nowS;
            placedCount++;
        }
        if (j.spec.gang()) {
            cluster.event("placed gangs", j.spec.id() + " after " + Math.round(nowS - j.seenS) + " s");
        }
    }
}
