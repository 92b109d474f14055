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
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.zone.ZoneMonitor;

/** Decides which machines to return: idle, condemned, never up, or silent beyond what is worth waiting for. */
final class ReturnPlanner {
    private static final String IDLE = "idle";

    private final Cluster cluster;
    private final double leaseS;
    private final double reportS;
    private final double idleKeepS;
    private final BootHistory boots;
    private final ZoneMonitor zones;
    private final ServiceDemand services;

    ReturnPlanner(
            Cluster cluster,
            double leaseS,
            double reportS,
            double idleKeepS,
            BootHistory boots,
            ZoneMonitor zones,
            ServiceDemand services) {
        this.cluster = cluster;
        this.leaseS = leaseS;
        this.reportS = reportS;
        this.idleKeepS = idleKeepS;
        this.boots = boots;
        this.zones = zones;
        this.services = services;
    }

    /** What one decision rests on beside the machine itself. */
    private record View(
            Map<JobSpec, Integer> expectedReplicas,
            Set<String> quietZones,
            Set<String> disturbedZones,
            Set<String> reserved,
            Map<String, Machine> lastIdle,
            boolean trustSilence,
            double nowS) {}

    /** Machines to return now; marks them. */
    List<String> planReturns(double nowS, double nowEpochS) {
        View view = view(nowS, nowEpochS);
        int idleSubstitutes = zones.maxSubstituteReturns();
        List<String> out = new ArrayList<>();
        for (Machine m : cluster.machines.values()) {
            if (m.beingReturned) {
                out.add(m.name); // asked for before without an answer: asking again is harmless
                continue;
            }
            String why = reason(m, view);
            if (why == null) {
                continue;
            }
            if (why.equals(IDLE) && zones.isSubstitute(m) && idleSubstitutes-- <= 0) {
                continue; // its zone has yet to show that it takes the work back
            }
            m.beingReturned = true;
            cluster.addEvent("returning, " + why, m.name);
            out.add(m.name);
        }
        return out.size() > Constants.MAX_MACHINES_PER_RETURN ? out.subList(0, Constants.MAX_MACHINES_PER_RETURN) : out;
    }

    private View view(double nowS, double nowEpochS) {
        Map<JobSpec, Integer> expected = services.expectedReplicas(nowEpochS);
        expected.replaceAll((s, n) -> services.freeReplicaSlots(s) - n);
        Set<String> quietZones = expected.isEmpty() && !services.hasServices() ? Set.of() : zones.lateZones(nowS);
        Set<String> reserved = new HashSet<>();
        cluster.reservations.values().forEach(l -> l.forEach(r -> reserved.add(r.machine())));
        return new View(
                expected, quietZones, zones.disturbedZones(nowS), reserved, lastIdle(), trustSilence(nowS), nowS);
    }

    /** Whether silence is the machines' own: when most are silent it is more likely us who cannot hear. */
    private boolean trustSilence(double nowS) {
        int up = 0;
        int silent = 0;
        for (Machine m : cluster.machines.values()) {
            if (!m.hasBooted() && m.placements.isEmpty() || m.unlisted) {
                continue;
            }
            up++;
            if (cluster.silentS(m, nowS) > quietS() || hearsNothing(m, nowS)) {
                silent++;
            }
        }
        return silent * 2 <= up || up <= 2;
    }

    private double quietS() {
        return leaseS + Constants.SILENT_RETURN_MARGIN_S;
    }

    /**
     * Of each type the machine that has been idle for the shortest time. Only that one is kept for a boot time: it answers
     * the next job, and a second one seldom earns its price.
     */
    private Map<String, Machine> lastIdle() {
        Map<String, Machine> last = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            if (m.isSchedulable() && m.isEmpty()) {
                last.merge(m.type.name(), m, ReturnPlanner::laterIdle);
            }
        }
        return last;
    }

    private static Machine laterIdle(Machine x, Machine y) {
        if (x.idleSinceS != y.idleSinceS) {
            return x.idleSinceS > y.idleSinceS ? x : y;
        }
        return x.name.compareTo(y.name) < 0 ? x : y;
    }

    /** Why a machine is to be returned, or null. */
    private String reason(Machine m, View view) {
        double nowS = view.nowS;
        if (!m.hasBooted() && m.placements.isEmpty()) {
            return neverCameUp(m, nowS) ? "never came up" : null;
        }
        if (m.unlisted && cluster.silentS(m, nowS) > leaseS / 2) {
            return "taken";
        }
        if (cluster.silentS(m, nowS) > quietS()) {
            return view.trustSilence && cluster.silentS(m, nowS) > quietS() + worthWaitingS(m, view) ? "silent" : null;
        }
        if (hearsNothing(m, nowS)) {
            return view.trustSilence ? "hears nothing" : null;
        }
        if (replicasSilent(m, view.quietZones, nowS)) {
            return "silent, with replicas";
        }
        if (m.quarantined && m.placements.isEmpty()) {
            return "sick";
        }
        if (m.draining && m.isEmpty()) {
            return "vacated";
        }
        return idle(m, view) ? IDLE : null;
    }

    private boolean neverCameUp(Machine m, double nowS) {
        boolean known = m.type != null && m.zone != null;
        double giveUpS = known
                ? boots.giveUpAfterS(m, nowS)
                : bootS(m) * Constants.BOOT_TIMEOUT_FACTOR + Constants.BOOT_TIMEOUT_MARGIN_S;
        if (nowS - m.rentedS <= giveUpS || cluster.listeningForS(nowS) <= leaseS) {
            return false;
        }
        if (known) {
            boots.recordLost(m, nowS);
        }
        return true;
    }

    private static double bootS(Machine m) {
        return m.type == null ? Constants.DEFAULT_BOOT_S : m.type.bootS();
    }

    /** A silent machine that the cloud still lists is worth waiting for as long as a new one would take to come up. */
    private static double worthWaitingS(Machine m, View view) {
        if (view.disturbedZones.contains(m.zone)) {
            return Constants.SILENT_ZONE_KEEP_S;
        }
        return Double.isNaN(m.firstListedS) ? 0 : bootS(m) - Constants.SILENT_RETURN_MARGIN_S;
    }

    private boolean idle(Machine m, View view) {
        if (!m.tokenConfirmed || m.unreachable || !m.isEmpty() || view.reserved.contains(m.name)) {
            return false;
        }
        boolean last = m.type != null && view.lastIdle.get(m.type.name()) == m;
        return view.nowS - m.idleSinceS > idleKeepS + (last ? bootS(m) / 2 : 0)
                && !keptForServices(m, view.expectedReplicas);
    }

    /** Its reports come, but answers have had no effect for so long that all it ran has lost its lease. */
    private boolean hearsNothing(Machine m, double nowS) {
        return m.hasReported && cluster.outOfContactS(m, nowS) > Constants.OUT_OF_CONTACT_RETURN_LEASES * leaseS;
    }

    /** Whether returning this idle machine would leave too little room for the services to come; takes its room off. */
    private boolean keptForServices(Machine m, Map<JobSpec, Integer> beyond) {
        for (Map.Entry<JobSpec, Integer> e : beyond.entrySet()) {
            int k = ServiceDemand.replicaSlots(m, e.getKey());
            if (k > 0 && e.getValue() < k) {
                return true;
            }
        }
        beyond.replaceAll((s, n) -> n - ServiceDemand.replicaSlots(m, s));
        return false;
    }

    /**
     * Whether a machine that has just fallen silent is returned for its replicas' sake: the cloud's answer proves them
     * gone long before the lease does, and each second until then is one without them. The rest of its work is lost
     * with it, and weighed against that.
     */
    private boolean replicasSilent(Machine m, Set<String> quietZones, double nowS) {
        double silent = cluster.silentS(m, nowS);
        if (!m.hasReported || silent <= reportS * Constants.REPLICA_SILENCE_INTERVALS || quietZones.contains(m.zone)) {
            return false;
        }
        if (cluster.listeningForS(nowS) < Constants.REPLICA_SILENCE_MIN_TERM_S) {
            return false;
        }
        double gain = 0;
        double loss = 0;
        for (Placement p : m.placements.values()) {
            double ran = Double.isNaN(p.runningSinceS) ? 0 : nowS - p.runningSinceS;
            if (p.job.spec.isService()) {
                gain += Math.max(0, leaseS - silent);
            } else {
                loss += p.job.spec.request().dominantShareOf(m.type.capacity())
                        * (p.job.spec.checkpointIntervalS() > 0
                                ? Math.min(ran, p.job.spec.checkpointIntervalS())
                                : ran);
            }
        }
        return gain > loss;
    }
}
