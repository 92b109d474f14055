package org.mountlug.core.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.cluster.MachineListing;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.zone.ZoneMonitor;

/** Decides which machines to return: idle, quarantined, drained, never up, or silent for longer than is worth waiting. */
final class ReturnPlanner {
    private static final String IDLE = "idle";

    private final Cluster cluster;
    private final double leaseS;
    private final double reportS;
    private final double idleKeepS;
    private final BootHistory bootHistory;
    private final ZoneMonitor zones;
    private final ServiceDemand services;

    ReturnPlanner(
            Cluster cluster,
            double leaseS,
            double reportS,
            double idleKeepS,
            BootHistory bootHistory,
            ZoneMonitor zones,
            ServiceDemand services) {
        this.cluster = cluster;
        this.leaseS = leaseS;
        this.reportS = reportS;
        this.idleKeepS = idleKeepS;
        this.bootHistory = bootHistory;
        this.zones = zones;
        this.services = services;
    }

    /**
     * The state of the cluster that a decision on a machine depends on.
     *
     * @param spareReplicaSlots by service, how many replica slots there are beyond the expected replicas
     * @param lateZones zones in which many machines are late with their reports, see {@link ZoneMonitor#lateZones}
     * @param disturbedZones zones whose silent machines are kept for longer, see {@link ZoneMonitor#disturbedZones}
     * @param reservedMachines names of machines that gangs have reserved
     * @param latestIdleByType by machine type, the machine that has been idle for the shortest time
     * @param silenceTrusted whether silence shows that a machine failed, see {@link #isSilenceTrusted}
     */
    private record DecisionInputs(
            Map<JobSpec, Integer> spareReplicaSlots,
            Set<String> lateZones,
            Set<String> disturbedZones,
            Set<String> reservedMachines,
            Map<String, Machine> latestIdleByType,
            boolean silenceTrusted,
            double nowS) {}

    /** Returns the names of the machines to return now, and marks these machines as being returned. */
    List<String> planReturns(double nowS, double nowEpochS) {
        DecisionInputs inputs = collectInputs(nowS, nowEpochS);
        int substituteReturnsLeft = zones.maxSubstituteReturns();
        List<String> returned = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.beingReturned) {
                returned.add(machine.name); // an earlier return was not acknowledged; repeating it is harmless
                continue;
            }
            String reason = returnReason(machine, inputs);
            if (reason == null) {
                continue;
            }
            if (reason.equals(IDLE) && zones.isSubstitute(machine) && substituteReturnsLeft-- <= 0) {
                continue; // the returning zone must first take its work back
            }
            machine.beingReturned = true;
            cluster.addEvent("returning, " + reason, machine.name);
            returned.add(machine.name);
        }
        return returned.size() > Constants.MAX_MACHINES_PER_RETURN
                ? returned.subList(0, Constants.MAX_MACHINES_PER_RETURN)
                : returned;
    }

    private DecisionInputs collectInputs(double nowS, double nowEpochS) {
        Map<JobSpec, Integer> spareReplicaSlots = services.expectedReplicas(nowEpochS);
        spareReplicaSlots.replaceAll((s, n) -> services.freeReplicaSlots(s) - n);
        Set<String> lateZones =
                spareReplicaSlots.isEmpty() && !services.hasServices() ? Set.of() : zones.lateZones(nowS);
        Set<String> reservedMachines = new HashSet<>();
        cluster.reservations.values().forEach(l -> l.forEach(r -> reservedMachines.add(r.machine())));
        return new DecisionInputs(
                spareReplicaSlots,
                lateZones,
                zones.disturbedZones(nowS),
                reservedMachines,
                latestIdleByType(),
                isSilenceTrusted(nowS),
                nowS);
    }

    /** Whether silence shows that machines failed: if most are silent, this controller is more likely cut off itself. */
    private boolean isSilenceTrusted(double nowS) {
        int up = 0;
        int silent = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isBooting() || machine.listing == MachineListing.GONE) {
                continue;
            }
            up++;
            if (cluster.silentS(machine, nowS) > silenceLimitS() || isOutOfContactTooLong(machine, nowS)) {
                silent++;
            }
        }
        return silent * 2 <= up || up <= 2;
    }

    private double silenceLimitS() {
        return leaseS + Constants.SILENT_RETURN_MARGIN_S;
    }

    /**
     * Returns, for each machine type, the machine that has been idle for the shortest time. Only that one is kept longer, by
     * half of its boot time: it can run the next job at once, and keeping a second one seldom pays off.
     */
    private Map<String, Machine> latestIdleByType() {
        Map<String, Machine> latestByType = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.isSchedulable() && machine.isEmpty()) {
                latestByType.merge(machine.type.name(), machine, ReturnPlanner::laterIdle);
            }
        }
        return latestByType;
    }

    private static Machine laterIdle(Machine first, Machine second) {
        if (first.idleSinceS != second.idleSinceS) {
            return first.idleSinceS > second.idleSinceS ? first : second;
        }
        return first.name.compareTo(second.name) < 0 ? first : second;
    }

    /** Returns why a machine is to be returned, or null if it is kept. */
    private String returnReason(Machine machine, DecisionInputs inputs) {
        double nowS = inputs.nowS;
        if (machine.listing == MachineListing.GONE && cluster.silentS(machine, nowS) > leaseS / 2) {
            return "taken";
        }
        if (machine.isBooting()) {
            return isBootTimedOut(machine, nowS) ? "never came up" : null;
        }
        if (cluster.silentS(machine, nowS) > silenceLimitS()) {
            return inputs.silenceTrusted
                            && cluster.silentS(machine, nowS) > silenceLimitS() + silentKeepS(machine, inputs)
                    ? "silent"
                    : null;
        }
        if (isOutOfContactTooLong(machine, nowS)) {
            return inputs.silenceTrusted ? "out of contact" : null;
        }
        if (isReturnedForReplicas(machine, inputs.lateZones, nowS)) {
            return "silent, with replicas";
        }
        if (machine.quarantined && machine.placements.isEmpty()) {
            return "sick";
        }
        if (machine.draining && machine.isEmpty()) {
            return "vacated";
        }
        return isIdleTooLong(machine, inputs) ? IDLE : null;
    }

    /** Whether a machine has not come up in time; if so, records the failed boot for its pool. */
    private boolean isBootTimedOut(Machine machine, double nowS) {
        boolean poolKnown = machine.type != null && machine.zone != null;
        double giveUpS = poolKnown
                ? bootHistory.giveUpAfterS(machine, nowS)
                : bootS(machine) * Constants.BOOT_TIMEOUT_FACTOR + Constants.BOOT_TIMEOUT_MARGIN_S;
        if (nowS - machine.rentedS <= giveUpS || cluster.listeningForS(nowS) <= leaseS) {
            return false;
        }
        if (poolKnown) {
            bootHistory.recordLost(machine, nowS);
        }
        return true;
    }

    private static double bootS(Machine machine) {
        return machine.type == null ? Constants.DEFAULT_BOOT_S : machine.type.bootS();
    }

    /**
     * Returns for how many seconds beyond the limit a silent machine is kept. If the cloud still lists it, it is worth
     * waiting for as long as a new machine would take to boot.
     */
    private static double silentKeepS(Machine machine, DecisionInputs inputs) {
        if (inputs.disturbedZones.contains(machine.zone)) {
            return Constants.SILENT_ZONE_KEEP_S;
        }
        return machine.listing == MachineListing.LISTED ? bootS(machine) - Constants.SILENT_RETURN_MARGIN_S : 0;
    }

    private boolean isIdleTooLong(Machine machine, DecisionInputs inputs) {
        if (!machine.tokenConfirmed
                || machine.unreachable
                || !machine.isEmpty()
                || inputs.reservedMachines.contains(machine.name)) {
            return false;
        }
        boolean latestIdle = machine.type != null && inputs.latestIdleByType.get(machine.type.name()) == machine;
        return inputs.nowS - machine.idleSinceS > idleKeepS + (latestIdle ? bootS(machine) / 2 : 0)
                && !isNeededForServices(machine, inputs.spareReplicaSlots);
    }

    /** Whether a machine reports, but responses have had no effect for so long that its worker lease must have ended. */
    private boolean isOutOfContactTooLong(Machine machine, double nowS) {
        return machine.hasReported
                && cluster.outOfContactS(machine, nowS) > Constants.OUT_OF_CONTACT_RETURN_LEASES * leaseS;
    }

    /**
     * Whether returning this idle machine would leave too few slots for the expected replicas of services; if not, subtracts
     * its slots from the spare ones.
     */
    private boolean isNeededForServices(Machine machine, Map<JobSpec, Integer> spareReplicaSlots) {
        for (Map.Entry<JobSpec, Integer> entry : spareReplicaSlots.entrySet()) {
            int slots = ServiceDemand.replicaSlots(machine, entry.getKey());
            if (slots > 0 && entry.getValue() < slots) {
                return true;
            }
        }
        spareReplicaSlots.replaceAll((s, n) -> n - ServiceDemand.replicaSlots(machine, s));
        return false;
    }

    /**
     * Whether a machine that has just fallen silent is returned so that its replicas can be replaced early: the cloud's
     * acknowledgement of the return proves that they have stopped, long before their lease ends. The seconds of service
     * gained are weighed against the other work that is lost with the machine.
     */
    private boolean isReturnedForReplicas(Machine machine, Set<String> lateZones, double nowS) {
        double silentS = cluster.silentS(machine, nowS);
        if (!machine.hasReported
                || silentS <= reportS * Constants.REPLICA_SILENCE_INTERVALS
                || lateZones.contains(machine.zone)) {
            return false;
        }
        if (cluster.listeningForS(nowS) < Constants.REPLICA_SILENCE_MIN_TERM_S) {
            return false;
        }
        double gainS = 0;
        double lossS = 0;
        for (Placement placement : machine.placements.values()) {
            double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
            if (placement.job.spec.isService()) {
                gainS += Math.max(0, leaseS - silentS);
            } else {
                lossS += placement.job.spec.request().dominantShareOf(machine.type.capacity())
                        * (placement.job.spec.checkpointIntervalS() > 0
                                ? Math.min(ranS, placement.job.spec.checkpointIntervalS())
                                : ranS);
            }
        }
        return gainS > lossS;
    }
}
