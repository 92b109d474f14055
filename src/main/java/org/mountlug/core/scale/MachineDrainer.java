package org.mountlug.core.scale;

import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;

/**
 * Drains machines that the cloud reclaims, that are quarantined or that are being vacated: stops tasks early enough to save
 * their checkpoints, and relocates service replicas step by step.
 */
final class MachineDrainer {
    private final Cluster cluster;

    MachineDrainer(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Stops tasks that must save their checkpoint now or that cannot end before their machine is reclaimed, and tasks of
     * idle priority on machines that are being vacated. The other tasks run on, because they may end in time.
     */
    void drain(double nowS) {
        for (Machine machine : cluster.machines.values()) {
            if (Double.isNaN(machine.reclaimAtS) && !machine.quarantined && !machine.draining) {
                continue;
            }
            for (Placement placement : machine.placements.values()) {
                JobSpec spec = placement.job.spec;
                if (spec.isService()) {
                    if (!placement.stopping) {
                        relocate(machine, placement, nowS);
                    }
                    continue;
                }
                if (placement.stopping || Double.isNaN(machine.reclaimAtS) && spec.checkpointIntervalS() == 0) {
                    if (machine.draining && spec.priority() == Priority.IDLE && !placement.stopping) {
                        placement.requestStop(0);
                    }
                    continue;
                }
                double remainingS = Double.isNaN(machine.reclaimAtS) ? 60 : machine.reclaimAtS - nowS;
                double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
                if (spec.checkpointIntervalS() > 0 && remainingS <= spec.checkpointSaveS() + 4
                        || spec.isGang() && remainingS <= spec.checkpointSaveS() + 5
                        || spec.checkpointIntervalS() > 0 && cluster.expectedRunS(placement.job) - ranS > remainingS) {
                    placement.requestStop(Math.max(
                            spec.checkpointSaveS(),
                            Math.min(remainingS, spec.checkpointSaveS() + Constants.SAVE_GRACE_S)));
                }
            }
        }
    }

    /**
     * Marks a replica as relocating, and stops it once another machine has free capacity for it, or shortly before its own
     * machine is reclaimed.
     */
    private void relocate(Machine machine, Placement placement, double nowS) {
        placement.relocating = true;
        double remainingS = Double.isNaN(machine.reclaimAtS) ? Double.POSITIVE_INFINITY : machine.reclaimAtS - nowS;
        int unavailable = 0;
        for (Placement sibling : placement.job.placements.values()) {
            if (sibling.stopping) {
                unavailable++;
            }
        }
        unavailable += placement.job.pendingTaskCount();
        boolean mostAvailable = unavailable * 2 < placement.job.spec.tasks(); // avoids stopping all replicas at a time
        if (remainingS < Constants.REPLICA_FORCED_STOP_S || mostAvailable && cluster.hasCapacityElsewhere(placement)) {
            placement.requestStop(0);
        }
    }
}
