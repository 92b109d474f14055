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

/** Places the replicas of services, each where it should run soonest, spread over machines. */
final class ReplicaPlacer {
    private final RoundState round;

    ReplicaPlacer(RoundState round) {
        this.round = round;
    }

    /**
     * Places as many replicas of a service as fit now, independently of each other, as each one is of use to its users by
     * itself. Each goes to the machine with the lowest cost, which grows with the start delay and with the replicas of the
     * same service on the machine, so that the loss of one machine takes few of them.
     */
    void place(Job job) {
        JobSpec spec = job.spec;
        Team team = round.cluster.team(spec.team());
        Resources usedByTeam = round.usageByTeam.getOrDefault(spec.team(), Resources.ZERO);
        int remainingTasks = round.cluster.remainingRecordTasks(job);
        Map<String, Integer> replicasByZone = new HashMap<>();
        Map<String, Integer> replicasByMachine = new HashMap<>();
        String requiredZone = null;
        for (Placement placement : job.placements.values()) {
            replicasByZone.merge(placement.zone, 1, Integer::sum);
            replicasByMachine.merge(placement.machine, 1, Integer::sum);
            if (spec.oneZone()) {
                requiredZone = placement.zone;
            }
        }
        PlacementTransaction transaction = new PlacementTransaction(job);
        MachineView warmupMachine = job.placements.isEmpty() && spec.tasks() >= Constants.IMAGE_WARMUP_MIN_REPLICAS
                ? selectWarmupMachine(job)
                : null;
        for (int replica = 0; replica < spec.tasks() && remainingTasks > 0; replica++) {
            if (!job.needsPlacement(replica, round.nowS)) {
                continue;
            }
            if (team != null && !team.isWithinLimit(usedByTeam.plus(spec.request()))) {
                break;
            }
            MachineView best = null;
            if (warmupMachine != null
                    && replica == spec.tasks() - 1
                    && (!spec.spreadAcrossZones()
                            || replicasByZone.getOrDefault(warmupMachine.machine.zone, 0) < spec.maxTasksPerZone())) {
                best = warmupMachine;
            }
            double lowestCostS = Double.MAX_VALUE;
            if (best == null) {
                for (MachineView machineView : round.machineViews.values()) {
                    Machine machine = machineView.machine;
                    if (machine.heldForGang != null || !spec.allows(machine.type.name(), machine.zone, machine.spot)) {
                        continue;
                    }
                    if (requiredZone != null && !requiredZone.equals(machine.zone)) {
                        continue;
                    }
                    if (spec.spreadAcrossZones()
                            && replicasByZone.getOrDefault(machine.zone, 0) >= spec.maxTasksPerZone()) {
                        continue;
                    }
                    // A new service skips accelerator machines and machines on which it would be late: preemption may
                    // soon free capacity on a CPU machine, at the cost of tasks that would end anyway.
                    if (round.replicaStartTimes.mayWaitForBetterMachine(job)
                            && (spec.request().gpus() == 0
                                            && machine.type.capacity().gpus() > 0
                                    || round.replicaStartTimes.latenessS(job, machine) > 0)) {
                        continue;
                    }
                    if (machineView.countReplicasFittingNow(spec.request()) < 1) {
                        continue;
                    }
                    double costS = replicaCostS(job, replica, machineView)
                            + Constants.REPLICA_SPREAD_COST_S * replicasByMachine.getOrDefault(machine.name, 0);
                    if (costS < lowestCostS || costS == lowestCostS && machine.name.compareTo(best.machine.name) < 0) {
                        lowestCostS = costS;
                        best = machineView;
                    }
                }
            }
            if (best == null) {
                break;
            }
            transaction.allocate(replica, best);
            usedByTeam = usedByTeam.plus(spec.request());
            replicasByZone.merge(best.machine.zone, 1, Integer::sum);
            replicasByMachine.merge(best.machine.name, 1, Integer::sum);
            if (spec.oneZone()) {
                requiredZone = best.machine.zone;
            }
            remainingTasks--;
        }
        if (transaction.isReady(1)) {
            round.usageByTeam.put(spec.team(), usedByTeam);
            round.commit(transaction);
        }
    }

    /**
     * Returns the CPU machine that should fetch the service's image by running one replica late, or null if none should.
     * Where fetching the image makes replicas late on every CPU machine, all of them would go to accelerator machines, and
     * so would those of the next service, as no CPU machine would ever cache the image. The machine that holds the most
     * replicas is chosen, until {@code IMAGE_WARMUP_MACHINES} machines that can hold the whole service have the image or
     * are fetching it.
     */
    private MachineView selectWarmupMachine(Job job) {
        JobSpec spec = job.spec;
        if (spec.oneZone() || spec.request().gpus() > 0) {
            return null;
        }
        MachineView best = null;
        int bestReplicaCapacity = 0;
        int warmMachines = 0;
        for (MachineView machineView : round.machineViews.values()) {
            Machine machine = machineView.machine;
            if (machine.type.capacity().gpus() > 0
                    || machine.heldForGang != null
                    || !spec.allows(machine.type.name(), machine.zone, machine.spot)) {
                continue;
            }
            int replicaCapacity = spec.request().countIn(machine.type.capacity());
            if (round.replicaStartTimes.latenessS(job, machine) <= 0 && !machine.cachedImages.contains(spec.image())) {
                return null; // a machine without the image is not late either
            }
            if (round.replicaStartTimes.imageFetchS(job, machine)
                    < spec.imageGb() / Math.max(0.01, machine.type.fetchGbPerS())) {
                if (replicaCapacity >= spec.tasks()) {
                    warmMachines++;
                }
            } else if (replicaCapacity > bestReplicaCapacity
                    && machineView.countReplicasFittingNow(spec.request()) > 0) {
                bestReplicaCapacity = replicaCapacity;
                best = machineView;
            }
        }
        return warmMachines < Constants.IMAGE_WARMUP_MACHINES ? best : null;
    }

    /**
     * Returns the cost of placing a replica on a machine in weighted seconds; lower is better. Seconds up to the time at
     * which the replica should run weigh little, later ones weigh much. The cost of keeping an expensive machine weighs
     * between the two, as a replica runs until its user cancels the service.
     */
    private double replicaCostS(Job job, int replica, MachineView machineView) {
        Machine machine = machineView.machine;
        double costS = round.replicaStartTimes.imageFetchS(job, machine) * Constants.FETCH_TIME_WEIGHT
                + round.replicaStartTimes.latenessS(job, machine) * Constants.LATENESS_WEIGHT;
        boolean withoutReplicas = true;
        for (Placement placement : machine.placements.values()) {
            withoutReplicas &= !placement.job.spec.isService();
        }
        // The first replica on a machine keeps the whole machine from being returned; further ones add no such cost.
        if (withoutReplicas) {
            costS += Math.min(
                    Constants.MAX_KEPT_MACHINE_COST_S,
                    machine.type.pricePerHour(machine.spot) / round.lowestPricePerHour * Constants.KEPT_MACHINE_COST_S);
        }
        if (machine.name.equals(job.avoidedMachineByTask.get(replica))) {
            costS += Constants.REPLICA_EXIT_PENALTY_S;
        }
        return costS + 2 * (1 - machineView.utilization()) + 5 * machine.failureCount();
    }
}
