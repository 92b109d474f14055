package org.mountlug.core.allocate;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/** Replicas of services, each where it runs soonest and beside as few of its like as may be. */
final class ReplicaPlacement {
    private final RoundView view;

    ReplicaPlacement(RoundView view) {
        this.view = view;
    }

    /**
     * Each replica for itself, as its user misses it for itself: where it runs soonest, and beside as few others of the
     * same service as may be, so that the loss of a machine is a small loss.
     */
    void place(Job j) {
        JobSpec spec = j.spec;
        Team team = view.cluster.team(spec.team());
        Resources used = view.usage.getOrDefault(spec.team(), Resources.ZERO);
        int budget = view.cluster.recordRoom(j);
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
            if (!j.wants(t, view.nowS)) {
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
                for (Node n : view.nodes.values()) {
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
                    if (view.times.mayWait(j)
                            && (spec.need().gpus() == 0 && m.type.size().gpus() > 0 || view.times.lateS(j, m) > 0)) {
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
            view.usage.put(spec.team(), used);
            view.commit(s);
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
        for (Node n : view.nodes.values()) {
            Machine m = n.machine;
            if (m.type.size().gpus() > 0 || m.heldFor != null || !s.allows(m.type.name(), m.zone, m.spot)) {
                continue;
            }
            int holds = s.need().countIn(m.type.size());
            if (view.times.lateS(j, m) <= 0 && !m.images.contains(s.image())) {
                return null; // cold ones are no trouble
            }
            if (view.times.fetchS(j, m) < s.imageGb() / Math.max(0.01, m.type.fetchGbPerS())) {
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
        double c = view.times.fetchS(j, m) * Constants.EARLIER_WORTH + view.times.lateS(j, m) * Constants.LATER_COST;
        boolean first = true;
        for (Placement p : m.placed.values()) {
            first &= !p.job.spec.service();
        }
        // The first replica keeps the view.whole machine from being returned; those that join it cost nothing more.
        if (first) {
            c += Math.min(Constants.KEPT_MOST_S, m.type.price(m.spot) / view.cheapestPrice * Constants.KEPT_S);
        }
        if (m.name.equals(j.avoid.get(task))) {
            c += Constants.ENDED_HERE_S;
        }
        return c + 2 * (1 - n.busyShare()) + 5 * m.failures();
    }
}
