package org.mountlug.core.scale;

import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;

/** Stops what runs on machines that are about to go, in time to save it, and moves replicas away one after the other. */
final class MachineDrainer {
    private final Cluster cluster;

    MachineDrainer(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Tasks on machines that the cloud is about to take: they save and move on, the rest may finish in time. */
    void drain(double nowS) {
        for (Machine m : cluster.machines.values()) {
            if (Double.isNaN(m.reclaimAtS) && !m.quarantined && !m.draining) {
                continue;
            }
            for (Placement p : m.placements.values()) {
                JobSpec s = p.job.spec;
                if (s.isService()) {
                    if (!p.stopping) {
                        move(m, p, nowS);
                    }
                    continue;
                }
                if (p.stopping || Double.isNaN(m.reclaimAtS) && s.checkpointIntervalS() == 0) {
                    if (m.draining && s.priority() == Priority.IDLE && !p.stopping) {
                        p.requestStop(0);
                    }
                    continue;
                }
                double left = Double.isNaN(m.reclaimAtS) ? 60 : m.reclaimAtS - nowS;
                double ran = Double.isNaN(p.runningSinceS) ? 0 : nowS - p.runningSinceS;
                if (s.checkpointIntervalS() > 0 && left <= s.checkpointSaveS() + 4
                        || s.isGang() && left <= s.checkpointSaveS() + 5
                        || s.checkpointIntervalS() > 0 && cluster.expectedRunS(p.job) - ran > left) {
                    p.requestStop(Math.max(
                            s.checkpointSaveS(), Math.min(left, s.checkpointSaveS() + Constants.SAVE_GRACE_S)));
                }
            }
        }
    }

    /** Marks replicas whose machine is about to go, and stops them once there is room for them elsewhere. */
    private void move(Machine m, Placement p, double nowS) {
        p.relocating = true;
        double left = Double.isNaN(m.reclaimAtS) ? Double.POSITIVE_INFINITY : m.reclaimAtS - nowS;
        int away = 0;
        for (Placement q : p.job.placements.values()) {
            if (q.stopping) {
                away++;
            }
        }
        away += p.job.pendingTaskCount();
        boolean some = away * 2 < p.job.spec.tasks(); // never all of a service at a time, if it can be helped
        if (left < Constants.REPLICA_FORCED_STOP_S || some && cluster.hasCapacityElsewhere(p)) {
            p.requestStop(0);
        }
    }
}
