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
final class GangMachineHolds {
    private final RoundState view;

    GangMachineHolds(RoundState view) {
        this.view = view;
    }

    /** Lets go of machines whose gang needs them no more. */
    void releaseUnneeded() {
        for (Machine m : view.cluster.machines.values()) {
            Job j = m.heldForGang == null ? null : view.cluster.jobs.get(m.heldForGang);
            if (j == null
                    || j.cancelled
                    || !j.placements.isEmpty()
                    || view.cluster.reservations.containsKey(m.heldForGang)) {
                m.heldForGang = null;
            }
        }
    }

    /**
     * A gang that found neither idle nor releasing room keeps the machines that should be free first from being filled
     * again. The design reserves room that tasks were told to leave; this does the same for room that tasks are about
     * to leave by themselves, without which a gang of view.whole machines starves behind a stream of small tasks.
     */
    void holdMachines(List<Job> pending) {
        for (Job j : pending) {
            if (!j.spec.isGang()
                    || !j.placements.isEmpty()
                    || j.failureHistory.isSuspected()
                    || view.cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            int missing = j.spec.tasks();
            String zone = null;
            for (MachineView n : view.machineViews.values()) {
                if (j.spec.id().equals(n.machine.heldForGang)) {
                    missing--;
                    zone = n.machine.zone;
                }
            }
            while (missing-- > 0) {
                MachineView best = null;
                double soonest = Constants.MAX_GANG_HOLD_WAIT_S;
                for (MachineView n : view.machineViews.values()) {
                    Machine m = n.machine;
                    if (m.heldForGang != null || j.spec.oneZone() && zone != null && !zone.equals(m.zone)) {
                        continue;
                    }
                    if (!j.spec.allows(m.type.name(), m.zone, m.spot)
                            || !j.spec.request().fitsIn(m.type.capacity())) {
                        continue;
                    }
                    double t = freeInS(n, j.spec.request());
                    if (t < soonest) {
                        soonest = t;
                        best = n;
                    }
                }
                if (best == null) {
                    break;
                }
                best.machine.heldForGang = j.spec.id();
                zone = best.machine.zone;
            }
        }
    }

    /** Seconds until a machine should have this much room, if it gets nothing new. */
    private double freeInS(MachineView n, Resources need) {
        List<Placement> l = new ArrayList<>(n.machine.placements.values());
        Map<Placement, Double> left = new HashMap<>();
        for (Placement p : l) {
            double ran = Double.isNaN(p.runningSinceS) ? 0 : view.nowS - p.runningSinceS;
            left.put(p, Math.max(1, view.cluster.expectedRunS(p.job) - ran));
        }
        l.sort(Comparator.comparingDouble(left::get));
        Resources room = n.free.minus(n.reserved);
        double t = 0;
        for (Placement p : l) {
            if (need.fitsIn(room)) {
                break;
            }
            room = room.plus(p.job.spec.request());
            t = left.get(p);
        }
        return need.fitsIn(room) ? t : Double.MAX_VALUE;
    }
}
