package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;

/** Keeps machines that should be free first for gangs that found no room, from one round to the next. */
final class MachineHolding {
    private final RoundView view;

    MachineHolding(RoundView view) {
        this.view = view;
    }

    /** Lets go of machines whose gang needs them no more. */
    void review() {
        for (Machine m : view.cluster.machines.values()) {
            Job j = m.heldFor == null ? null : view.cluster.jobs.get(m.heldFor);
            if (j == null || j.cancelled || !j.placed.isEmpty() || view.cluster.reservations.containsKey(m.heldFor)) {
                m.heldFor = null;
            }
        }
    }

    /**
     * A gang that found neither idle nor releasing room keeps the machines that should be free first from being filled
     * again. The design reserves room that tasks were told to leave; this does the same for room that tasks are about
     * to leave by themselves, without which a gang of view.whole machines starves behind a stream of small tasks.
     */
    void hold(List<Job> pending) {
        for (Job j : pending) {
            if (!j.spec.gang()
                    || !j.placed.isEmpty()
                    || j.failureHistory.suspected()
                    || view.cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            int missing = j.spec.tasks();
            String zone = null;
            for (Node n : view.nodes.values()) {
                if (j.spec.id().equals(n.machine.heldFor)) {
                    missing--;
                    zone = n.machine.zone;
                }
            }
            while (missing-- > 0) {
                Node best = null;
                double soonest = Constants.MACHINE_HELD_MAX_S;
                for (Node n : view.nodes.values()) {
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
            double ran = Double.isNaN(p.runningS) ? 0 : view.nowS - p.runningS;
            left.put(p, Math.max(1, view.cluster.expectedS(p.job) - ran));
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
}
