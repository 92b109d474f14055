package org.mountlug.core.scale;

import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Urgency;

/** Stops what runs on machines that are about to go, in time to save it, and moves replicas away one after the other. */
final class MachineDrain {
    private final Cluster cluster;

    MachineDrain(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Tasks on machines that the cloud is about to take: they save and move on, the rest may finish in time. */
    void drain(double nowS) {
        for (Machine m : cluster.machines.values()) {
            if (Double.isNaN(m.takenS) && !m.sick && !m.vacating) {
                continue;
            }
            for (Placement p : m.placed.values()) {
                JobSpec s = p.job.spec;
                if (s.service()) {
                    if (!p.stopping) {
                        move(m, p, nowS);
                    }
                    continue;
                }
                if (p.stopping || Double.isNaN(m.takenS) && s.checkpointS() == 0) {
                    if (m.vacating && s.urgency() == Urgency.IDLE && !p.stopping) {
                        p.stop(0);
                    }
                    continue;
                }
                double left = Double.isNaN(m.takenS) ? 60 : m.takenS - nowS;
                double ran = Double.isNaN(p.runningS) ? 0 : nowS - p.runningS;
                if (s.checkpointS() > 0 && left <= s.saveS() + 4
                        || s.gang() && left <= s.saveS() + 5
                        || s.checkpointS() > 0 && cluster.expectedS(p.job) - ran > left) {
                    p.stop(Math.max(s.saveS(), Math.min(left, s.saveS() + Constants.SAVE_GRACE_S)));
                }
            }
        }
    }

    /** Marks replicas whose machine is about to go, and stops them once there is room for them elsewhere. */
    private void move(Machine m, Placement p, double nowS) {
        p.leaving = true;
        double left = Double.isNaN(m.takenS) ? Double.POSITIVE_INFINITY : m.takenS - nowS;
        int away = 0;
        for (Placement q : p.job.placed.values()) {
            if (q.stopping) {
                away++;
            }
        }
        away += p.job.open();
        boolean some = away * 2 < p.job.spec.tasks(); // never all of a service at a time, if it can be helped
        if (left < Constants.REPLICAS_LAST_S || some && cluster.roomElsewhere(p)) {
            p.stop(0);
        }
    }
}
