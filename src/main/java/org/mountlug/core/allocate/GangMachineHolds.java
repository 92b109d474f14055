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

/** Holds machines for gangs that could be neither placed nor reserved, from one round to the next. */
final class GangMachineHolds {
    private final RoundState round;

    GangMachineHolds(RoundState round) {
        this.round = round;
    }

    /** Releases held machines whose gang is gone, cancelled, placed or has reservations. */
    void releaseUnneeded() {
        for (Machine machine : round.cluster.machines.values()) {
            Job job = machine.heldForGang == null ? null : round.cluster.jobs.get(machine.heldForGang);
            if (job == null
                    || job.cancelled
                    || !job.placements.isEmpty()
                    || round.cluster.reservations.containsKey(machine.heldForGang)) {
                machine.heldForGang = null;
            }
        }
    }

    /**
     * Holds, for each gang that found neither free nor releasing capacity, the machines that should be free soonest, so
     * that no other work is placed on them. Reservations count only on tasks that are stopping; a hold counts on tasks
     * that should end by themselves. Without it a gang that needs whole machines starves behind a stream of small tasks.
     */
    void holdMachines(List<Job> pending) {
        for (Job job : pending) {
            if (!job.spec.isGang()
                    || !job.placements.isEmpty()
                    || job.failureHistory.isSuspected()
                    || round.cluster.reservations.containsKey(job.spec.id())) {
                continue;
            }
            int missingMachines = job.spec.tasks();
            String zone = null;
            for (MachineView machineView : round.machineViews.values()) {
                if (job.spec.id().equals(machineView.machine.heldForGang)) {
                    missingMachines--;
                    zone = machineView.machine.zone;
                }
            }
            while (missingMachines-- > 0) {
                MachineView best = null;
                double shortestWaitS = Constants.MAX_GANG_HOLD_WAIT_S;
                for (MachineView machineView : round.machineViews.values()) {
                    Machine machine = machineView.machine;
                    if (machine.heldForGang != null
                            || job.spec.oneZone() && zone != null && !zone.equals(machine.zone)) {
                        continue;
                    }
                    if (!job.spec.allows(machine.type.name(), machine.zone, machine.spot)
                            || !job.spec.request().fitsIn(machine.type.capacity())) {
                        continue;
                    }
                    double waitS = expectedWaitS(machineView, job.spec.request());
                    if (waitS < shortestWaitS) {
                        shortestWaitS = waitS;
                        best = machineView;
                    }
                }
                if (best == null) {
                    break;
                }
                best.machine.heldForGang = job.spec.id();
                zone = best.machine.zone;
            }
        }
    }

    /**
     * Returns the seconds until a machine should have capacity for the request if no new work is placed on it, or
     * {@code Double.MAX_VALUE} if the end of all its tasks would not suffice; infinite if a replica would have to end.
     */
    private double expectedWaitS(MachineView machineView, Resources request) {
        List<Placement> placements = new ArrayList<>(machineView.machine.placements.values());
        Map<Placement, Double> remainingS = new HashMap<>();
        for (Placement placement : placements) {
            double ranS = Double.isNaN(placement.runningSinceS) ? 0 : round.nowS - placement.runningSinceS;
            remainingS.put(placement, Math.max(1, round.cluster.expectedRunS(placement.job) - ranS));
        }
        placements.sort(Comparator.comparingDouble(remainingS::get));
        Resources available = machineView.free.minus(machineView.reserved);
        double waitS = 0;
        for (Placement placement : placements) {
            if (request.fitsIn(available)) {
                break;
            }
            available = available.plus(placement.job.spec.request());
            waitS = remainingS.get(placement);
        }
        return request.fitsIn(available) ? waitS : Double.MAX_VALUE;
    }
}
