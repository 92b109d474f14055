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
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.DisplacementOrder;
import org.mountlug.core.zone.ZoneMonitor;

/**
 * Decides which machines to rent. Queued work is laid, as a fluid, over the machines there are and those that boot; what
 * does not fit within a part of its slack is worth a new machine of the kind that serves it most cheaply.
 */
final class RentalPlanner {
    private final Cluster cluster;
    private final Objectives aims;
    private final double leaseS;
    private final double spotRisk;
    private final BootHistory boots;
    private final ZoneMonitor zones;
    private final ServiceDemand services;
    private final Map<CapacityPool, Double> exhausted = new HashMap<>();
    /** Kinds that were refused and of which nothing was asked in vain since. */
    private final Set<CapacityPool> knownExhausted = new HashSet<>();

    private long counter;

    RentalPlanner(
            Cluster cluster,
            Objectives aims,
            double leaseS,
            double spotRisk,
            BootHistory boots,
            ZoneMonitor zones,
            ServiceDemand services) {
        this.cluster = cluster;
        this.aims = aims;
        this.leaseS = leaseS;
        this.spotRisk = spotRisk;
        this.boots = boots;
        this.zones = zones;
        this.services = services;
    }

    /** The cloud has no more machines of this kind for now; tells whether that is news. */
    boolean recordRefused(RentalRequest rental, double nowS) {
        exhausted.put(rental.pool(), nowS + Constants.NO_CAPACITY_PAUSE_S);
        return knownExhausted.add(rental.pool());
    }

    /** The cloud has rented all that was asked of this kind; tells whether that is news. */
    boolean recordServed(RentalRequest rental) {
        return knownExhausted.remove(rental.pool());
    }

    /** What to rent now. */
    List<RentalRequest> planRentals(double nowS, double nowEpochS) {
        boots.observe(nowS);
        Set<String> barredZones = zones.closedZones(nowS);
        RentalPlan plan = new RentalPlan(cluster, boots, spotRisk, barredZones, exhausted, nowS);
        plan.addMachines(countedOn(barredZones, nowS));
        plan.limitDeferrable(zones.maxDeferrableRentals(nowS));
        Map<String, Resources> usage = cluster.usageByTeam();
        cluster.overflowJobs.clear();
        boolean headroomKept = false;
        for (Job job : waiting(nowEpochS)) {
            if (!job.spec.isService() && !headroomKept) {
                keepHeadroom(plan, nowEpochS); // ahead of work that ends
                headroomKept = true;
            }
            int wanted = withinLimit(job, wanted(job, nowS), usage);
            if (wanted > 0) {
                plan(plan, job, wanted, nowEpochS);
            }
        }
        if (!headroomKept) {
            keepHeadroom(plan, nowEpochS);
        }
        return requests(plan.machinesToRent());
    }

    /** The machines on which queued work may count, with what they have to do already. */
    private List<PlannedMachine> countedOn(Set<String> barredZones, double nowS) {
        List<PlannedMachine> counted = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            double readyInS = readyInS(machine, barredZones, nowS);
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
                    double leftS = Math.max(2, cluster.expectedRunS(placement.job) - ranS);
                    planned.addLoad(leftS, placement.job.spec.request());
                }
            }
            counted.add(planned);
        }
        return counted;
    }

    /** Seconds until a machine can take work, NaN if it is not to be counted on. */
    private double readyInS(Machine machine, Set<String> barredZones, double nowS) {
        if (machine.type == null
                || machine.beingReturned
                || machine.quarantined
                || machine.draining
                || !Double.isNaN(machine.reclaimAtS)) {
            return Double.NaN;
        }
        if (machine.hasBooted() && cluster.silentS(machine, nowS) > leaseS) {
            // One that the cloud still lists is likely cut off, and back before a new one is up.
            boolean lost = machine.unlisted || Double.isNaN(machine.firstListedS) || barredZones.contains(machine.zone);
            return lost ? Double.NaN : machine.type.bootS();
        }
        if (machine.hasReported && machine.unreachable) {
            // After an outage or a cut a whole zone has lost its leases and is deaf until its next two reports: rented
            // for at once, it would be there twice.
            return cluster.outOfContactS(machine, nowS) > leaseS ? Double.NaN : Constants.LEASE_RECOVERY_S;
        }
        if (machine.hasReported) {
            return zones.acceptsWork(machine.zone) ? 0 : Double.NaN;
        }
        // What is overdue may come yet, and is used or returned then; the work that waits for it is not left to it.
        if (!machine.hasBooted() && machine.placements.isEmpty() && boots.isOverdue(machine, nowS)) {
            return Double.NaN;
        }
        return Math.max(1, machine.rentedS + boots.expectedBootS(machine, nowS) - nowS);
    }

    /** Jobs with tasks that need a machine, the most urgent first. */
    private List<Job> waiting(double nowEpochS) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.cancelled && unplaced(job) > 0 && !cluster.reservations.containsKey(job.spec.id())) {
                jobs.add(job);
            }
        }
        DisplacementOrder displacement = zones.displacementOrder(
                job -> aims.orderKey(job.spec, job.pendingTaskCount(), cluster.expectedRunS(job), nowEpochS));
        Comparator<Job> ordinary = Comparator.comparing((Job job) -> job.spec.priority())
                .reversed()
                .thenComparingDouble(job -> aims.dueEpochS(job.spec, cluster.expectedRunS(job)));
        jobs.sort(displacement != null ? displacement : ordinary);
        return jobs;
    }

    /** Tasks that need a machine: those without one, and replicas whose machine is about to go. */
    private static int unplaced(Job job) {
        int unplaced = job.pendingTaskCount();
        if (job.spec.isService()) {
            for (Placement placement : job.placements.values()) {
                unplaced += placement.relocating ? 1 : 0;
            }
        }
        return unplaced;
    }

    private int wanted(Job job, double nowS) {
        return job.failureHistory.isSuspected() ? wantedForRetry(job, nowS) : unplaced(job);
    }

    /**
     * Tasks of a job suspected of failing everywhere that need a machine: none while it waits for its next try, or while
     * machines are there that could hold that try, busy or not, as nothing is worth renting for it.
     */
    private int wantedForRetry(Job job, double nowS) {
        int needed = job.spec.isGang() || job.spec.isService() ? unplaced(job) : 1;
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

    /** How many of the wanted tasks the team's limit allows; counts them as used. */
    private int withinLimit(Job job, int wanted, Map<String, Resources> usage) {
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
            Resources more = new Resources(
                    spec.request().cpus() * allowed, spec.request().gpus() * allowed, 0);
            usage.merge(spec.team(), more, Resources::plus);
        }
        return allowed;
    }

    private void plan(RentalPlan plan, Job job, int wanted, double nowEpochS) {
        JobSpec spec = job.spec;
        plan.setDeferrable(!zones.isUrgent(job));
        if (spec.isService()) {
            plan.planReplicas(spec, wanted, job);
            return;
        }
        double expectedS = cluster.expectedRunS(job);
        double horizonS = horizonS(job, nowEpochS);
        boolean plain = spec.request().gpus() == 0;
        int left = wanted - plan.assign(spec, expectedS, horizonS, wanted, plain);
        left -= plan.rent(spec, expectedS, horizonS, left, plain);
        if (left <= 0 || !plain) {
            return;
        }
        // Every cheap kind is exhausted: what can wait waits, the rest is worth an accelerator machine.
        double patienceS = Math.max(horizonS, slackS(job, nowEpochS) * Constants.OVERFLOW_SLACK_SHARE);
        left -= plan.assign(spec, expectedS, patienceS, left, true);
        if (left <= 0) {
            return;
        }
        cluster.overflowJobs.add(spec.id());
        left -= plan.assign(spec, expectedS, patienceS, left, false);
        plan.rent(spec, expectedS, patienceS, left, false);
    }

    /** Seconds left until the job's tasks must start for it to be done when due. */
    private double slackS(Job job, double nowEpochS) {
        double expectedS = job.spec.isService() ? 0 : cluster.expectedRunS(job);
        return aims.dueEpochS(job.spec, expectedS) - nowEpochS - expectedS;
    }

    /** Seconds that a job's tasks may wait for machines that exist already. */
    private double horizonS(Job job, double nowEpochS) {
        double slackS = slackS(job, nowEpochS);
        return Math.min(
                Constants.MAX_WAIT_HORIZON_S,
                Math.max(Constants.MIN_WAIT_HORIZON_S, slackS * Constants.WAIT_HORIZON_SLACK_SHARE));
    }

    /**
     * Room for services that are yet to come, which cannot wait for a boot: as much as was lately asked for in the time
     * that one takes. Work that ends may use it meanwhile; a service takes its place.
     */
    private void keepHeadroom(RentalPlan plan, double nowEpochS) {
        services.expectedReplicas(nowEpochS).forEach((spec, replicas) -> plan.planReplicas(spec, replicas, null));
    }

    /** The orders as requests, each within what one may name; the first of every kind before any second. */
    private List<RentalRequest> requests(Map<CapacityPool, Integer> orders) {
        List<RentalRequest> requests = new ArrayList<>();
        for (int call = 0; call < Constants.MAX_RENTALS_PER_POOL; call++) {
            for (Map.Entry<CapacityPool, Integer> order : orders.entrySet()) {
                int count = Math.min(
                        Constants.MAX_MACHINES_PER_RENTAL, order.getValue() - call * Constants.MAX_MACHINES_PER_RENTAL);
                if (count > 0) {
                    CapacityPool kind = order.getKey();
                    String name = "h-" + cluster.token() + "-" + ++counter;
                    requests.add(new RentalRequest(name, kind.type(), kind.zone(), kind.spot(), count));
                }
            }
        }
        return requests;
    }
}
