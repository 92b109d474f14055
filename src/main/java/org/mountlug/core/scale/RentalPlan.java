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
 * One decision on what to rent: the machines there are and those that boot, over which queued work is laid, and the orders
 * for what they cannot take in time.
 */
final class RentalPlan {
    private final Cluster cluster;
    private final BootHistory boots;
    private final double spotRisk;
    private final double nowS;
    private final Set<String> barredZones;
    /** Kinds of machine that were refused, with the steady seconds until which they are not asked for. */
    private final Map<CapacityPool, Double> exhausted;

    private final List<PlannedMachine> planned = new ArrayList<>();
    private final UnplaceableDemand refused = new UnplaceableDemand();
    private final Map<CapacityPool, Integer> machinesToRent = new LinkedHashMap<>();
    private int deferrableLeft = Integer.MAX_VALUE;
    private boolean patient;

    RentalPlan(
            Cluster cluster,
            BootHistory boots,
            double spotRisk,
            Set<String> barredZones,
            Map<CapacityPool, Double> exhausted,
            double nowS) {
        this.cluster = cluster;
        this.boots = boots;
        this.spotRisk = spotRisk;
        this.barredZones = barredZones;
        this.exhausted = exhausted;
        this.nowS = nowS;
    }

    /** The machines on which queued work may count; to be set before anything is planned. */
    void addMachines(List<PlannedMachine> machines) {
        planned.addAll(machines);
        planned.sort(Comparator.comparingDouble(machine -> machine.readyInS));
    }

    /** Limits how many machines are ordered for patient work, see {@link #patient}. */
    void limitDeferrable(int most) {
        deferrableLeft = most;
    }

    /** Tells whether what is ordered from now on is for work that can wait and see whether a lost zone comes back. */
    void setDeferrable(boolean is) {
        patient = is;
    }

    /** How many machines of each kind to order. */
    Map<CapacityPool, Integer> machinesToRent() {
        return machinesToRent;
    }

    /** Lays up to {@code wanted} tasks over the machines; returns how many they take. */
    int assign(JobSpec spec, double expectedS, double horizonS, int wanted, boolean cpuOnly) {
        boolean upAreFull = refused.covers(spec, expectedS, horizonS, cpuOnly);
        int taken = 0;
        int takenByUp = 0;
        for (PlannedMachine machine : planned) {
            if (taken >= wanted) {
                return taken;
            }
            if (upAreFull && machine.readyInS == 0 || !machine.allows(spec, cpuOnly)) {
                continue;
            }
            int more = machine.assign(spec, expectedS, horizonS, wanted - taken);
            taken += more;
            takenByUp += machine.readyInS == 0 ? more : 0;
        }
        if (takenByUp == 0 && !upAreFull) {
            refused.add(spec, expectedS, horizonS, cpuOnly);
        }
        return taken;
    }

    /** A kind that would serve the work, how many machines of it, and at what cost. */
    private record Offer(PlannedMachine machine, int count, double cost) {}

    /** Orders machines for {@code wanted} tasks; returns how many they serve. */
    int rent(JobSpec spec, double expectedS, double horizonS, int wanted, boolean cpuOnly) {
        return rent(spec, expectedS, horizonS, wanted, cpuOnly, barredZones);
    }

    private int rent(
            JobSpec spec, double expectedS, double horizonS, int wanted, boolean cpuOnly, Set<String> barredZones) {
        int left = wanted;
        while (left > 0) {
            Offer best = cheapest(spec, expectedS, horizonS, left, cpuOnly, barredZones);
            if (best == null) {
                break;
            }
            CapacityPool kind = best.machine.pool();
            int have = machinesToRent.getOrDefault(kind, 0);
            int take = Math.min(best.count, Constants.MAX_MACHINES_PER_RENTAL * Constants.MAX_RENTALS_PER_POOL - have);
            take = patient ? Math.min(take, deferrableLeft) : take;
            if (take <= 0) {
                break;
            }
            deferrableLeft -= patient ? take : 0;
            for (int i = 0; i < take && left > 0; i++) {
                PlannedMachine machine = best.machine.emptyCopy();
                left -= Math.max(1, machine.assign(spec, expectedS, horizonS, left));
                planned.add(machine);
            }
            machinesToRent.put(kind, have + take);
        }
        return wanted - Math.max(0, left);
    }

    private Offer cheapest(
            JobSpec spec, double expectedS, double horizonS, int wanted, boolean cpuOnly, Set<String> barredZones) {
        Offer best = null;
        for (MachineType type : cluster.types()) {
            if (!spec.canEverRunOn(type) || cpuOnly && type.capacity().gpus() > 0) {
                continue;
            }
            for (String zone : type.zones()) {
                if (barredZones.contains(zone)) {
                    continue;
                }
                for (boolean spot : new boolean[] {false, true}) {
                    Offer offer =
                            offer(spec, expectedS, horizonS, wanted, type, new CapacityPool(type.name(), zone, spot));
                    if (offer != null && (best == null || offer.cost < best.cost)) {
                        best = offer;
                    }
                }
            }
        }
        return best;
    }

    private Offer offer(
            JobSpec spec, double expectedS, double horizonS, int wanted, MachineType type, CapacityPool kind) {
        if (!spec.allows(kind.type(), kind.zone(), kind.spot())
                || exhausted.getOrDefault(kind, 0.0) > nowS
                || boots.isAvoided(kind, nowS)) {
            return null;
        }
        double bootS = type.bootS() * boots.bootTimeFactor(kind, nowS);
        PlannedMachine machine = new PlannedMachine(type, kind.zone(), kind.spot(), bootS);
        int each = machine.emptyCopy().assign(spec, expectedS, horizonS, wanted);
        if (each == 0) {
            return null;
        }
        int count = (wanted + each - 1) / each;
        double price = type.pricePerHour(kind.spot()) * (kind.spot() ? spotRisk : 1) / (1 - boots.lossRate(kind, nowS));
        return new Offer(machine, count, count * price * (bootS + busyS(spec, expectedS, type, wanted, count)));
    }

    /** Seconds for which each of the machines would work. */
    private static double busyS(JobSpec spec, double expectedS, MachineType type, int wanted, int count) {
        if (spec.isService()) {
            return Constants.ASSUMED_SERVICE_RENTAL_S;
        }
        double waves =
                Math.ceil((double) wanted / count / Math.max(1, spec.request().countIn(type.capacity())));
        return Math.max(Constants.MIN_ESTIMATED_RENTAL_S, expectedS * waves);
    }

    /** Room for so many replicas of a service that is live, or with no job for ones that are yet to come. */
    void planReplicas(JobSpec spec, int wanted, Job job) {
        boolean plain = spec.request().gpus() == 0;
        Map<String, Integer> zoneLeft = spec.spreadAcrossZones() ? zoneLeft(spec, wanted, job) : new HashMap<>();
        int left = wanted - assignReplicas(spec, wanted, plain, zoneLeft);
        zoneLeft.keySet().removeAll(barredZones);
        while (left > 0) {
            int asked = spec.spreadAcrossZones() ? Math.min(left, most(zoneLeft)) : left;
            if (asked <= 0) {
                return;
            }
            Set<String> barred = new HashSet<>(barredZones);
            zoneLeft.forEach((zone, room) -> {
                if (room < asked) {
                    barred.add(zone);
                }
            });
            int got = rent(spec, 0, 0, asked, plain, barred);
            if (got <= 0 && plain) {
                got = rent(spec, 0, 0, asked, false, barred);
            }
            if (got <= 0) {
                if (!spec.spreadAcrossZones()) {
                    return;
                }
                zoneLeft.keySet().removeIf(zone -> !barred.contains(zone)); // nothing to be had there
                continue;
            }
            left -= got;
            int taken = got;
            zoneLeft.computeIfPresent(planned.get(planned.size() - 1).zone, (zone, room) -> room - taken);
        }
    }

    private static int most(Map<String, Integer> zoneLeft) {
        return zoneLeft.values().stream().mapToInt(room -> room).max().orElse(0);
    }

    /** How many more replicas each zone may have. */
    private Map<String, Integer> zoneLeft(JobSpec spec, int wanted, Job job) {
        int most = job != null ? spec.maxTasksPerZone() : (wanted + 1) / 2;
        Map<String, Integer> zoneLeft = new HashMap<>();
        for (MachineType type : cluster.types()) {
            for (String zone : type.zones()) {
                zoneLeft.put(zone, most - (job == null ? 0 : job.placedTasksIn(zone)));
            }
        }
        return zoneLeft;
    }

    private int assignReplicas(JobSpec spec, int wanted, boolean plain, Map<String, Integer> zoneLeft) {
        int taken = 0;
        for (PlannedMachine machine : planned) {
            if (taken >= wanted) {
                break;
            }
            if (!machine.allows(spec, plain)) {
                continue;
            }
            int may = Math.min(wanted - taken, zoneLeft.getOrDefault(machine.zone, wanted - taken));
            if (may <= 0) {
                continue;
            }
            int more = machine.assign(spec, 0, 0, may);
            taken += more;
            zoneLeft.computeIfPresent(machine.zone, (zone, room) -> room - more);
        }
        return taken;
    }
}
