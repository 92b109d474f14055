package org.mountlug.core.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;

/**
 * One rental decision: assigns queued work to the machines that are up or boot, and collects the machines to rent for the
 * work that these cannot run in time.
 */
final class RentalPlan {
    private final Cluster cluster;
    private final BootHistory bootHistory;
    private final double spotRisk;
    private final double nowS;
    private final Set<String> closedZones;
    /** Pools that the cloud refused to rent from, with the monotonic time in seconds until which they are not used. */
    private final Map<CapacityPool, Double> exhaustedUntilS;

    private final List<PlannedMachine> plannedMachines = new ArrayList<>();
    private final UnplaceableDemand unplaceable = new UnplaceableDemand();
    private final Map<CapacityPool, Integer> machinesToRent = new LinkedHashMap<>();
    private int deferrableRentalsLeft = Integer.MAX_VALUE;
    private boolean rentingDeferrable;

    RentalPlan(
            Cluster cluster,
            BootHistory bootHistory,
            double spotRisk,
            Set<String> closedZones,
            Map<CapacityPool, Double> exhaustedUntilS,
            double nowS) {
        this.cluster = cluster;
        this.bootHistory = bootHistory;
        this.spotRisk = spotRisk;
        this.closedZones = closedZones;
        this.exhaustedUntilS = exhaustedUntilS;
        this.nowS = nowS;
    }

    /** Adds machines that can take queued work; called before any work is planned. */
    void addMachines(List<PlannedMachine> machines) {
        plannedMachines.addAll(machines);
        plannedMachines.sort(Comparator.comparingDouble(machine -> machine.readyInS));
    }

    /** Limits how many machines are rented for deferrable work, see {@link #setDeferrable}. */
    void limitDeferrable(int maxMachines) {
        deferrableRentalsLeft = maxMachines;
    }

    /** Sets whether the following rentals are for work that can wait for a lost zone to come back. */
    void setDeferrable(boolean deferrable) {
        rentingDeferrable = deferrable;
    }

    /** Returns the number of machines to rent from each pool. */
    Map<CapacityPool, Integer> machinesToRent() {
        return machinesToRent;
    }

    /** Assigns up to {@code wanted} tasks to the planned machines and returns how many were assigned. */
    int assign(JobSpec spec, double expectedRunS, double horizonS, int wanted, boolean cpuOnly) {
        boolean readyMachinesFull = unplaceable.covers(spec, expectedRunS, horizonS, cpuOnly);
        int assigned = 0;
        int assignedToReady = 0;
        for (PlannedMachine machine : plannedMachines) {
            if (assigned >= wanted) {
                return assigned;
            }
            if (readyMachinesFull && machine.readyInS == 0 || !machine.allows(spec, cpuOnly)) {
                continue;
            }
            int added = machine.assign(spec, expectedRunS, horizonS, wanted - assigned);
            assigned += added;
            assignedToReady += machine.readyInS == 0 ? added : 0;
        }
        if (assignedToReady == 0 && !readyMachinesFull) {
            unplaceable.add(spec, expectedRunS, horizonS, cpuOnly);
        }
        return assigned;
    }

    /** A machine type, zone and market that could run the work, the number of machines needed, and their cost. */
    private record Offer(PlannedMachine machine, int count, double cost) {}

    /** Adds machines to rent for {@code wanted} tasks and returns how many of the tasks they can run. */
    int rent(JobSpec spec, double expectedRunS, double horizonS, int wanted, boolean cpuOnly) {
        return rent(spec, expectedRunS, horizonS, wanted, cpuOnly, closedZones);
    }

    private int rent(
            JobSpec spec,
            double expectedRunS,
            double horizonS,
            int wanted,
            boolean cpuOnly,
            Set<String> excludedZones) {
        int remaining = wanted;
        while (remaining > 0) {
            Offer best = cheapestOffer(spec, expectedRunS, horizonS, remaining, cpuOnly, excludedZones);
            if (best == null) {
                break;
            }
            CapacityPool pool = best.machine.pool();
            int alreadyRenting = machinesToRent.getOrDefault(pool, 0);
            int rentCount = Math.min(
                    best.count, Constants.MAX_MACHINES_PER_RENTAL * Constants.MAX_RENTALS_PER_POOL - alreadyRenting);
            rentCount = rentingDeferrable ? Math.min(rentCount, deferrableRentalsLeft) : rentCount;
            if (rentCount <= 0) {
                break;
            }
            deferrableRentalsLeft -= rentingDeferrable ? rentCount : 0;
            for (int i = 0; i < rentCount && remaining > 0; i++) {
                PlannedMachine machine = best.machine.emptyCopy();
                remaining -= Math.max(1, machine.assign(spec, expectedRunS, horizonS, remaining));
                plannedMachines.add(machine);
            }
            machinesToRent.put(pool, alreadyRenting + rentCount);
        }
        return wanted - Math.max(0, remaining);
    }

    private Offer cheapestOffer(
            JobSpec spec,
            double expectedRunS,
            double horizonS,
            int wanted,
            boolean cpuOnly,
            Set<String> excludedZones) {
        Offer best = null;
        for (MachineType type : cluster.types()) {
            if (!spec.canEverRunOn(type) || cpuOnly && type.capacity().gpus() > 0) {
                continue;
            }
            for (String zone : type.zones()) {
                if (excludedZones.contains(zone)) {
                    continue;
                }
                for (boolean spot : new boolean[] {false, true}) {
                    Offer offer = offer(
                            spec, expectedRunS, horizonS, wanted, type, new CapacityPool(type.name(), zone, spot));
                    if (offer != null && (best == null || offer.cost < best.cost)) {
                        best = offer;
                    }
                }
            }
        }
        return best;
    }

    private Offer offer(
            JobSpec spec, double expectedRunS, double horizonS, int wanted, MachineType type, CapacityPool pool) {
        if (!spec.allows(pool.type(), pool.zone(), pool.spot())
                || exhaustedUntilS.getOrDefault(pool, 0.0) > nowS
                || bootHistory.isAvoided(pool, nowS)) {
            return null;
        }
        double bootS = type.bootS() * bootHistory.bootTimeFactor(pool, nowS);
        PlannedMachine machine = new PlannedMachine(type, pool.zone(), pool.spot(), bootS);
        int tasksPerMachine = machine.emptyCopy().assign(spec, expectedRunS, horizonS, wanted);
        if (tasksPerMachine == 0) {
            return null;
        }
        int count = (wanted + tasksPerMachine - 1) / tasksPerMachine;
        double price =
                type.pricePerHour(pool.spot()) * (pool.spot() ? spotRisk : 1) / (1 - bootHistory.lossRate(pool, nowS));
        return new Offer(machine, count, count * price * (bootS + busyS(spec, expectedRunS, type, wanted, count)));
    }

    /** Returns the estimated seconds for which each of the machines would be busy. */
    private static double busyS(JobSpec spec, double expectedRunS, MachineType type, int wanted, int count) {
        if (spec.isService()) {
            return Constants.ASSUMED_SERVICE_RENTAL_S;
        }
        double waves =
                Math.ceil((double) wanted / count / Math.max(1, spec.request().countIn(type.capacity())));
        return Math.max(Constants.MIN_ESTIMATED_RENTAL_S, expectedRunS * waves);
    }

    /**
     * Assigns replicas of a service to planned machines, and rents machines for those that do not fit.
     *
     * @param job the live service, or null for replicas of services that are expected to be submitted soon
     */
    void planReplicas(JobSpec spec, int wanted, Job job) {
        boolean cpuOnly = spec.request().gpus() == 0;
        Map<String, Integer> remainingByZone =
                spec.spreadAcrossZones() ? remainingByZone(spec, wanted, job) : new HashMap<>();
        int remaining = wanted - assignReplicas(spec, wanted, cpuOnly, remainingByZone);
        remainingByZone.keySet().removeAll(closedZones);
        while (remaining > 0) {
            int requested = spec.spreadAcrossZones() ? Math.min(remaining, maxRemaining(remainingByZone)) : remaining;
            if (requested <= 0) {
                return;
            }
            Set<String> excludedZones = new HashSet<>(closedZones);
            remainingByZone.forEach((zone, zoneRemaining) -> {
                if (zoneRemaining < requested) {
                    excludedZones.add(zone);
                }
            });
            int served = rent(spec, 0, 0, requested, cpuOnly, excludedZones);
            if (served <= 0 && cpuOnly) {
                served = rent(spec, 0, 0, requested, false, excludedZones);
            }
            if (served <= 0) {
                if (!spec.spreadAcrossZones()) {
                    return;
                }
                // No machine can be rented in the zones that were tried.
                remainingByZone.keySet().removeIf(zone -> !excludedZones.contains(zone));
                continue;
            }
            remaining -= served;
            int servedInZone = served;
            remainingByZone.computeIfPresent(
                    plannedMachines.get(plannedMachines.size() - 1).zone,
                    (zone, zoneRemaining) -> zoneRemaining - servedInZone);
        }
    }

    private static int maxRemaining(Map<String, Integer> remainingByZone) {
        return remainingByZone.values().stream()
                .mapToInt(zoneRemaining -> zoneRemaining)
                .max()
                .orElse(0);
    }

    /** Returns how many more replicas each zone may hold. */
    private Map<String, Integer> remainingByZone(JobSpec spec, int wanted, Job job) {
        int maxPerZone = job != null ? spec.maxTasksPerZone() : (wanted + 1) / 2;
        Map<String, Integer> remainingByZone = new HashMap<>();
        for (MachineType type : cluster.types()) {
            for (String zone : type.zones()) {
                remainingByZone.put(zone, maxPerZone - (job == null ? 0 : job.placedTasksIn(zone)));
            }
        }
        return remainingByZone;
    }

    private int assignReplicas(JobSpec spec, int wanted, boolean cpuOnly, Map<String, Integer> remainingByZone) {
        int assigned = 0;
        for (PlannedMachine machine : plannedMachines) {
            if (assigned >= wanted) {
                break;
            }
            if (!machine.allows(spec, cpuOnly)) {
                continue;
            }
            int allowed = Math.min(wanted - assigned, remainingByZone.getOrDefault(machine.zone, wanted - assigned));
            if (allowed <= 0) {
                continue;
            }
            int added = machine.assign(spec, 0, 0, allowed);
            assigned += added;
            remainingByZone.computeIfPresent(machine.zone, (zone, zoneRemaining) -> zoneRemaining - added);
        }
        return assigned;
    }
}
