package org.mountlug.core.zone;

import java.util.Collection;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;

/**
 * Finds substitutes: machines rented in other zones while a zone was absent, that is suspect or lost. They are recognized by
 * the time of their rental, so a new leader recognizes them as well.
 */
final class SubstituteMachines {
    private final Cluster cluster;

    SubstituteMachines(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Whether a machine was rented in another zone while this zone was absent and before it began to return. */
    static boolean isSubstitute(Machine machine, String zone, ZoneTracker tracker) {
        if (machine.zone == null || machine.zone.equals(zone) || tracker.state() == ZoneState.PRESENT) {
            return false;
        }
        boolean rentedSinceAbsence = machine.rentedS >= tracker.absentSinceS();
        return rentedSinceAbsence
                && (tracker.state() != ZoneState.RETURNING || machine.rentedS <= tracker.stateSinceS());
    }

    /**
     * Returns how many more substitutes may be rented for work that is not urgent; {@link Integer#MAX_VALUE} once the zone
     * has been absent for long. A zone is often back before a new machine has booted, so only a part of its machines is
     * replaced at once, and the rest gradually while the zone stays absent.
     */
    int maxRentals(String zone, ZoneTracker tracker, double nowS) {
        double absentS = nowS - tracker.absentSinceS();
        double share = Constants.Zones.IMMEDIATE_SUBSTITUTE_SHARE + absentS / Constants.Zones.FULL_SUBSTITUTION_S;
        if (share >= 1) {
            return Integer.MAX_VALUE;
        }
        int allowed = (int) Math.ceil(share * tracker.maxSilentMachines());
        int rented = 0;
        for (Machine machine : cluster.machines.values()) {
            rented += isSubstitute(machine, zone, tracker) ? 1 : 0;
        }
        return Math.max(0, allowed - rented);
    }

    /** Returns how many idle substitutes may be returned in a round; {@link Integer#MAX_VALUE} if no zone is returning. */
    static int maxReturns(Collection<ZoneTracker> trackers) {
        int limit = Integer.MAX_VALUE;
        for (ZoneTracker tracker : trackers) {
            if (tracker.ramp() != null) {
                double returnsPerRound = tracker.ramp().window() * Constants.Zones.SUBSTITUTE_RETURN_SHARE;
                limit = Math.min(limit, Math.max(1, (int) Math.ceil(returnsPerRound)));
            }
        }
        return limit;
    }
}
