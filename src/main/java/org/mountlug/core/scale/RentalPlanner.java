package org.mountlug.core.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.cluster.MachineListing;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.DisplacementOrder;
import org.mountlug.core.zone.ZoneMonitor;

/**
 * Decides which machines to rent. Queued work is assigned, as a fluid, to the machines that are up or boot; for work that
 * they cannot take within a share of its slack, machines are rented from the capacity pool that runs it most cheaply.
 */
final class RentalPlanner {
    private final Cluster cluster;
    private final Objectives objectives;
    private final double leaseS;
    private final double spotRisk;
    private final BootHistory bootHistory;
    private final ZoneMonitor zones;
    private final ServiceDemand services;
    private final Map<CapacityPool, Double> exhaustedUntilS = new HashMap<>();
    /** Pools that the cloud refused to rent from and that have not fulfilled a rental since. */
    private final Set<CapacityPool> reportedExhausted = new HashSet<>();

    private long requestCounter;

    RentalPlanner(
            Cluster cluster,
            Objectives objectives,
            double leaseS,
            double spotRisk,
            BootHistory bootHistory,
            ZoneMonitor zones,
            ServiceDemand services) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.leaseS = leaseS;
        this.spotRisk = spotRisk;
        this.bootHistory = bootHistory;
        this.zones = zones;
        this.services = services;
    }

    /** Records that the cloud has no more machines in this pool for now; returns false if that was known already. */
    boolean recordRefused(RentalRequest rental, double nowS) {
        exhaustedUntilS.put(rental.pool(), nowS + Constants.NO_CAPACITY_PAUSE_S);
        return reportedExhausted.add(rental.pool());
    }

    /** Records that the cloud rented all requested machines; returns whether the pool had been recorded as refused. */
    boolean recordFulfilled(RentalRequest rental) {
        return reportedExhausted.remove(rental.pool());
    }

    /** Returns the rental requests to send now. */
    List<RentalRequest> planRentals(double nowS, double nowEpochS) {
        bootHistory.observe(nowS);
        Set<String> closedZones = zones.closedZones(nowS);
        RentalPlan plan = new RentalPlan(cluster, bootHistory, spotRisk, closedZones, exhaustedUntilS, nowS);
        plan.addMachines(usableMachines(closedZones, nowS));
        plan.limitDeferrable(zones.maxDeferrableRentals(nowS));
        Map<String, Resources> usage = cluster.usageByTeam();
        cluster.overflowJobs.clear();
        boolean headroomPlanned = false;
        for (Job job : waitingJobs(nowEpochS)) {
            if (!job.spec.isService() && !headroomPlanned) {
                planServiceHeadroom(plan, nowEpochS); // before array and gang jobs
                headroomPlanned = true;
            }
            int wanted = limitToTeam(job, wantedTasks(job, nowS), usage);
            if (wanted > 0) {
                planJob(plan, job, wanted, nowEpochS);
            }
        }
        if (!headroomPlanned) {
            planServiceHeadroom(plan, nowEpochS);
        }
        return rentalRequests(plan.machinesToRent());
    }

    /** Returns the machines that can take queued work, with the load of the tasks that already run on them. */
    private List<PlannedMachine> usableMachines(Set<String> closedZones, double nowS) {
        List<PlannedMachine> usable = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            double readyInS = readyInS(machine, closedZones, nowS);
            if (Double.isNaN(readyInS)) {
                continue;
            }
            PlannedMachine planned = new PlannedMachine(
                    machine.type,
                    machine.zone,
                    machine.spot,
                    readyInS,
                    machine.type.capacity().minus(machine.allocatedToServices()));
            for (Placement placement : machine.placements.values()) {
                if (!placement.job.spec.isService()) {
                    double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
                    double remainingS = Math.max(2, cluster.expectedRunS(placement.job) - ranS);
                    planned.addLoad(remainingS, placement.job.spec.request());
                }
            }
            usable.add(planned);
        }
        return usable;
    }

    /** Returns the seconds until a machine can take work, {@code NaN} if queued work must not be assigned to it. */
    private double readyInS(Machine machine, Set<String> closedZones, double nowS) {
        if (machine.type == null
                || machine.beingReturned
                || machine.quarantined
                || machine.draining
                || !Double.isNaN(machine.reclaimAtS)) {
            return Double.NaN;
        }
        if (machine.hasBooted() && cluster.silentS(machine, nowS) > leaseS) {
            // A silent machine that the cloud still lists is probably cut off by the network, and will report again
            // before a newly rented one is up.
            boolean lost = machine.listing != MachineListing.LISTED || closedZones.contains(machine.zone);
            return lost ? Double.NaN : machine.type.bootS();
        }
        if (machine.hasReported && machine.unreachable) {
            // After an outage or a network partition all workers of a zone have lost their leases and are unreachable
            // until their next two reports. Renting for them at once would replace the whole zone although it returns.
            return cluster.outOfContactS(machine, nowS) > leaseS ? Double.NaN : Constants.LEASE_RECOVERY_S;
        }
        if (machine.hasReported) {
            return zones.acceptsWork(machine.zone) ? 0 : Double.NaN;
        }
        // An overdue machine may still come up, and is then used or returned; queued work does not wait for it.
        if (machine.isBooting() && bootHistory.isOverdue(machine, nowS)) {
            return Double.NaN;
        }
        return Math.max(1, machine.rentedS + bootHistory.expectedBootS(machine, nowS) - nowS);
    }

    /** Returns the jobs with tasks that need a machine, the most urgent first. */
    private List<Job> waitingJobs(double nowEpochS) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.cancelled && unplacedTasks(job) > 0 && !cluster.reservations.containsKey(job.spec.id())) {
                jobs.add(job);
            }
        }
        DisplacementOrder displacementOrder = zones.displacementOrder(
                job -> objectives.orderKey(job.spec, job.pendingTaskCount(), cluster.expectedRunS(job), nowEpochS));
        Comparator<Job> defaultOrder = Comparator.comparing((Job job) -> job.spec.priority())
                .reversed()
                .thenComparingDouble(job -> objectives.dueEpochS(job.spec, cluster.expectedRunS(job)));
        jobs.sort(displacementOrder != null ? displacementOrder : defaultOrder);
        return jobs;
    }

    /** Returns the number of tasks that need a machine: pending tasks, and replicas that are being relocated. */
    private static int unplacedTasks(Job job) {
        int unplaced = job.pendingTaskCount();
        if (job.spec.isService()) {
            for (Placement placement : job.placements.values()) {
                unplaced += placement.relocating ? 1 : 0;
            }
        }
        return unplaced;
    }

    private int wantedTasks(Job job, double nowS) {
        return job.failureHistory.isSuspected() ? wantedForRetry(job, nowS) : unplacedTasks(job);
    }

    /**
     * Returns the number of tasks for which a job suspected of failing everywhere needs machines: none while it waits for
     * its next attempt, or while existing machines could hold that attempt, even if they are busy. Renting for such a job is
     * not worth the cost.
     */
    private int wantedForRetry(Job job, double nowS) {
        int needed = job.spec.isGang() || job.spec.isService() ? unplacedTasks(job) : 1;
        if (nowS < job.pausedUntilS || !job.spec.isService() && !job.placements.isEmpty()) {
            return 0;
        }
        int slots = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.type != null
                    && !machine.beingReturned
                    && !machine.quarantined
                    && job.spec.allows(machine.type.name(), machine.zone, machine.spot)) {
                slots += job.spec.request().countIn(machine.type.capacity());
            }
        }
        return slots >= needed ? 0 : needed;
    }

    /** Returns how many of the wanted tasks the team's limit allows, and adds these to the team's usage. */
    private int limitToTeam(Job job, int wanted, Map<String, Resources> usage) {
        JobSpec spec = job.spec;
        Team team = cluster.team(spec.team());
        if (team == null || wanted <= 0) {
            return wanted;
        }
        Resources used = usage.getOrDefault(spec.team(), Resources.ZERO);
        double cpus = team.maxCpus() > 0 ? team.maxCpus() - used.cpus() : Constants.UNLIMITED;
        double gpus = team.maxGpus() > 0 ? team.maxGpus() - used.gpus() : Constants.UNLIMITED;
        int allowed = Math.min(wanted, spec.request().countIn(new Resources(cpus, gpus, Constants.UNLIMITED)));
        if (allowed > 0) {
            Resources added = new Resources(
                    spec.request().cpus() * allowed, spec.request().gpus() * allowed, 0);
            usage.merge(spec.team(), added, Resources::plus);
        }
        return allowed;
    }

    private void planJob(RentalPlan plan, Job job, int wanted, double nowEpochS) {
        JobSpec spec = job.spec;
        plan.setDeferrable(!zones.isUrgent(job));
        if (spec.isService()) {
            plan.planReplicas(spec, wanted, job);
            return;
        }
        double expectedRunS = cluster.expectedRunS(job);
        double horizonS = horizonS(job, nowEpochS);
        boolean cpuOnly = spec.request().gpus() == 0;
        int remaining = wanted - plan.assign(spec, expectedRunS, horizonS, wanted, cpuOnly);
        remaining -= plan.rent(spec, expectedRunS, horizonS, remaining, cpuOnly);
        if (remaining <= 0 || !cpuOnly) {
            return;
        }
        // All pools of CPU machines are exhausted: work that can wait is left to existing CPU machines, and the rest
        // overflows to accelerator machines.
        double overflowHorizonS = Math.max(horizonS, slackS(job, nowEpochS) * Constants.OVERFLOW_SLACK_SHARE);
        remaining -= plan.assign(spec, expectedRunS, overflowHorizonS, remaining, true);
        if (remaining <= 0) {
            return;
        }
        cluster.overflowJobs.add(spec.id());
        remaining -= plan.assign(spec, expectedRunS, overflowHorizonS, remaining, false);
        plan.rent(spec, expectedRunS, overflowHorizonS, remaining, false);
    }

    /** Returns the seconds left until the job's tasks must start for the job to be done when due. */
    private double slackS(Job job, double nowEpochS) {
        double expectedRunS = job.spec.isService() ? 0 : cluster.expectedRunS(job);
        return objectives.dueEpochS(job.spec, expectedRunS) - nowEpochS - expectedRunS;
    }

    /** Returns the seconds within which existing machines must be able to run a job's tasks. */
    private double horizonS(Job job, double nowEpochS) {
        double slackS = slackS(job, nowEpochS);
        return Math.min(
                Constants.MAX_WAIT_HORIZON_S,
                Math.max(Constants.MIN_WAIT_HORIZON_S, slackS * Constants.WAIT_HORIZON_SLACK_SHARE));
    }

    /**
     * Plans capacity for services that are expected to be submitted, because a service cannot wait for a machine to boot:
     * as many replicas as were recently requested in the time of a boot. Array and gang tasks may use this capacity until a
     * service takes their place.
     */
    private void planServiceHeadroom(RentalPlan plan, double nowEpochS) {
        services.expectedReplicas(nowEpochS).forEach((spec, replicas) -> plan.planReplicas(spec, replicas, null));
    }

    /** Splits the rentals into requests of limited size; the first request of every pool precedes any second one. */
    private List<RentalRequest> rentalRequests(Map<CapacityPool, Integer> machinesToRent) {
        List<RentalRequest> requests = new ArrayList<>();
        for (int requestIndex = 0; requestIndex < Constants.MAX_RENTALS_PER_POOL; requestIndex++) {
            for (Map.Entry<CapacityPool, Integer> entry : machinesToRent.entrySet()) {
                int count = Math.min(
                        Constants.MAX_MACHINES_PER_RENTAL,
                        entry.getValue() - requestIndex * Constants.MAX_MACHINES_PER_RENTAL);
                if (count > 0) {
                    CapacityPool pool = entry.getKey();
                    String name = "h-" + cluster.termToken() + "-" + ++requestCounter;
                    requests.add(new RentalRequest(name, pool.type(), pool.zone(), pool.spot(), count));
                }
            }
        }
        return requests;
    }
}
