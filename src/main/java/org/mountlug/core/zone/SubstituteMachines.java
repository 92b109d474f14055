package org.mountlug.core.zone;

import java.util.Collection;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;

/**
 * Machines rented elsewhere while a zone was away. Which ones they are follows from when they were rented, so a new leader
 * knows them too.
 */
final class SubstituteMachines {
    private final Cluster cluster;

    SubstituteMachines(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Whether a machine was rented elsewhere while this zone was away. */
    static boolean isSubstitute(Machine machine, String zone, ZoneTracker tracker) {
        if (machine.zone == null || machine.zone.equals(zone) || tracker.state() == ZoneState.PRESENT) {
            return false;
        }
        boolean sinceTrouble = machine.rentedS >= tracker.absentSinceS();
        return sinceTrouble && (tracker.state() != ZoneState.RETURNING || machine.rentedS <= tracker.stateSinceS());
    }

    /**
     * How many more substitutes may be rented for work that is not urgent; without limit once the loss has lasted. A zone is often back before a machine has booted,
     * so only a part of its machines is replaced at once, and the rest as the loss lasts.
     */
    int maxRentals(String zone, ZoneTracker tracker, double nowS) {
        double awayS = nowS - tracker.absentSinceS();
        double share = Constants.Zones.IMMEDIATE_SUBSTITUTE_SHARE + awayS / Constants.Zones.FULL_SUBSTITUTION_S;
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

    /** How many idle substitutes may be returned in a round while zones return; without limit if none does. */
    static int maxReturns(Collection<ZoneTracker> trackers) {
        int most = Integer.MAX_VALUE;
        for (ZoneTracker tracker : trackers) {
            if (tracker.ramp() != null) {
                double pace = tracker.ramp().window() * Constants.Zones.SUBSTITUTE_RETURN_SHARE;
                most = Math.min(most, Math.max(1, (int) Math.ceil(pace)));
            }
        }
        return most;
    }
}
