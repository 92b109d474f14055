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
    private final Map<MachineKind, Double> exhausted;

    private final List<PlannedMachine> planned = new ArrayList<>();
    private final RefusedDemand refused = new RefusedDemand();
    private final Map<MachineKind, Integer> orders = new LinkedHashMap<>();
    private int patientLeft = Integer.MAX_VALUE;
    private boolean patient;

    RentalPlan(
            Cluster cluster,
            BootHistory boots,
            double spotRisk,
            Set<String> barredZones,
            Map<MachineKind, Double> exhausted,
            double nowS) {
        this.cluster = cluster;
        this.boots = boots;
        this.spotRisk = spotRisk;
        this.barredZones = barredZones;
        this.exhausted = exhausted;
        this.nowS = nowS;
    }

    /** The machines on which queued work may count; to be set before anything is planned. */
    void counts(List<PlannedMachine> machines) {
        planned.addAll(machines);
        planned.sort(Comparator.comparingDouble(machine -> machine.bootS));
    }

    /** Limits how many machines are ordered for patient work, see {@link #patient}. */
    void limitPatient(int most) {
        patientLeft = most;
    }

    /** Tells whether what is ordered from now on is for work that can wait and see whether a lost zone comes back. */
    void patient(boolean is) {
        patient = is;
    }

    /** How many machines of each kind to order. */
    Map<MachineKind, Integer> orders() {
        return orders;
    }

    /** Lays up to {@code wanted} tasks over the machines; returns how many they take. */
    int assign(JobSpec spec, double expectedS, double horizonS, int wanted, boolean plainOnly) {
        boolean upAreFull = refused.covers(spec, expectedS, horizonS, plainOnly);
        int taken = 0;
        int takenByUp = 0;
        for (PlannedMachine machine : planned) {
            if (taken >= wanted) {
                return taken;
            }
            if (upAreFull && machine.bootS == 0 || !machine.allowedFor(spec, plainOnly)) {
                continue;
            }
            int more = machine.takes(spec, expectedS, horizonS, wanted - taken);
            taken += more;
            takenByUp += machine.bootS == 0 ? more : 0;
        }
        if (takenByUp == 0 && !upAreFull) {
            refused.add(spec, expectedS, horizonS, plainOnly);
        }
        return taken;
    }

    /** A kind that would serve the work, how many machines of it, and at what cost. */
    private record Offer(PlannedMachine machine, int count, double cost) {}

    /** Orders machines for {@code wanted} tasks; returns how many they serve. */
    int rent(JobSpec spec, double expectedS, double horizonS, int wanted, boolean plainOnly) {
        return rent(spec, expectedS, horizonS, wanted, plainOnly, barredZones);
    }

    private int rent(
            JobSpec spec, double expectedS, double horizonS, int wanted, boolean plainOnly, Set<String> barredZones) {
        int left = wanted;
        while (left > 0) {
            Offer best = cheapest(spec, expectedS, horizonS, left, plainOnly, barredZones);
            if (best == null) {
                break;
            }
            MachineKind kind = best.machine.kind();
            int have = orders.getOrDefault(kind, 0);
            int take = Math.min(best.count, Constants.RENT_MAX * Constants.RENT_CALLS_A_KIND - have);
            take = patient ? Math.min(take, patientLeft) : take;
            if (take <= 0) {
                break;
            }
            patientLeft -= patient ? take : 0;
            for (int i = 0; i < take && left > 0; i++) {
                PlannedMachine machine = best.machine.another();
                left -= Math.max(1, machine.takes(spec, expectedS, horizonS, left));
                planned.add(machine);
            }
            orders.put(kind, have + take);
        }
        return wanted - Math.max(0, left);
    }

    private Offer cheapest(
            JobSpec spec, double expectedS, double horizonS, int wanted, boolean plainOnly, Set<String> barredZones) {
        Offer best = null;
        for (MachineType type : cluster.types()) {
            if (!spec.allows(type) || plainOnly && type.size().gpus() > 0) {
                continue;
            }
            for (String zone : type.zones()) {
                if (barredZones.contains(zone)) {
                    continue;
                }
                for (boolean spot : new boolean[] {false, true}) {
                    Offer offer =
                            offer(spec, expectedS, horizonS, wanted, type, new MachineKind(type.name(), zone, spot));
                    if (offer != null && (best == null || offer.cost < best.cost)) {
                        best = offer;
                    }
                }
            }
        }
        return best;
    }

    private Offer offer(
            JobSpec spec, double expectedS, double horizonS, int wanted, MachineType type, MachineKind kind) {
        if (!spec.allows(kind.type(), kind.zone(), kind.spot())
                || exhausted.getOrDefault(kind, 0.0) > nowS
                || boots.avoided(kind, nowS)) {
            return null;
        }
        double bootS = type.bootS() * boots.slowness(kind, nowS);
        PlannedMachine machine = new PlannedMachine(type, kind.zone(), kind.spot(), bootS);
        int each = machine.another().takes(spec, expectedS, horizonS, wanted);
        if (each == 0) {
            return null;
        }
        int count = (wanted + each - 1) / each;
        double price = type.price(kind.spot()) * (kind.spot() ? spotRisk : 1) / (1 - boots.lossRate(kind, nowS));
        return new Offer(machine, count, count * price * (bootS + busyS(spec, expectedS, type, wanted, count)));
    }

    /** Seconds for which each of the machines would work. */
    private static double busyS(JobSpec spec, double expectedS, MachineType type, int wanted, int count) {
        if (spec.service()) {
            return Constants.SERVICE_PAID_S;
        }
        double waves =
                Math.ceil((double) wanted / count / Math.max(1, spec.need().countIn(type.size())));
        return Math.max(Constants.BUSY_LEAST_S, expectedS * waves);
    }

    /** Room for so many replicas of a service that is live, or with no job for ones that are yet to come. */
    void replicas(JobSpec spec, int wanted, Job job) {
        boolean plain = spec.need().gpus() == 0;
        Map<String, Integer> zoneLeft = spec.apart() ? zoneLeft(spec, wanted, job) : new HashMap<>();
        int left = wanted - assignReplicas(spec, wanted, plain, zoneLeft);
        zoneLeft.keySet().removeAll(barredZones);
        while (left > 0) {
            int asked = spec.apart() ? Math.min(left, most(zoneLeft)) : left;
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
                if (!spec.apart()) {
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
        int most = job != null ? spec.zoneMost() : (wanted + 1) / 2;
        Map<String, Integer> zoneLeft = new HashMap<>();
        for (MachineType type : cluster.types()) {
            for (String zone : type.zones()) {
                zoneLeft.put(zone, most - (job == null ? 0 : job.placedIn(zone)));
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
            if (!machine.allowedFor(spec, plain)) {
                continue;
            }
            int may = Math.min(wanted - taken, zoneLeft.getOrDefault(machine.zone, wanted - taken));
            if (may <= 0) {
                continue;
            }
            int more = machine.takes(spec, 0, 0, may);
            taken += more;
            zoneLeft.computeIfPresent(machine.zone, (zone, room) -> room - more);
        }
        return taken;
    }
}
