package org.mountlug.core.zone;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;

/**
 * Empties substitutes into a returning zone where that is cheap and pays: all that runs on the substitute can be stopped
 * without loss, an idle machine of the zone takes it, and what is saved on the substitute's price is more than the move
 * costs. Whatever else runs elsewhere ends there.
 */
final class FailbackPlanner {
    private static final double S_PER_HOUR = 3600;

    private final Cluster cluster;
    /** Machines that are being emptied, by the zone for which. */
    private final Map<Machine, String> vacating = new HashMap<>();

    FailbackPlanner(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Chooses substitutes to be emptied, as many at a time as the ramp of the zone allows. */
    void planMoves(String zone, ZoneTracker tracker, double nowS) {
        vacating.keySet().removeIf(machine -> cluster.machines.get(machine.name) != machine);
        int most = Math.max(1, (int) (tracker.ramp().window() * Constants.Zones.CONCURRENT_MOVES_SHARE));
        Set<Machine> taken = new HashSet<>();
        for (Machine machine : cluster.machines.values()) {
            if (vacating.size() >= most) {
                return;
            }
            boolean candidate = machine.isSchedulable() && !machine.isEmpty() && machine.orphans.isEmpty();
            if (!candidate || !SubstituteMachines.isSubstitute(machine, zone, tracker)) {
                continue;
            }
            Machine home = home(machine, zone, taken, nowS);
            if (home != null) {
                taken.add(home);
                vacating.put(machine, zone);
                machine.draining = true;
                cluster.addEvent("vacating, its work moves back to " + zone, machine.name);
            }
        }
    }

    /** The zone is gone again: what was to move there stays. */
    void cancel(String zone) {
        vacating.entrySet().removeIf(entry -> {
            if (entry.getValue().equals(zone)) {
                entry.getKey().draining = false;
                return true;
            }
            return false;
        });
    }

    private Machine home(Machine substitute, String zone, Set<Machine> taken, double nowS) {
        double leftS = 0;
        double moveS = 0;
        Resources needed = Resources.ZERO;
        for (Placement placement : substitute.placements.values()) {
            if (!movable(placement)) {
                return null;
            }
            leftS = Math.max(leftS, leftS(placement, nowS));
            moveS = Math.max(moveS, moveS(placement, substitute));
            needed = needed.plus(placement.job.spec.request());
        }
        if (leftS < Constants.Zones.MIN_MOVE_REMAINING_S) {
            return null;
        }
        for (Machine machine : cluster.machines.values()) {
            boolean idle = zone.equals(machine.zone) && machine.isSchedulable() && machine.isEmpty();
            if (idle
                    && !taken.contains(machine)
                    && needed.fitsIn(machine.type.capacity())
                    && allowsAll(machine, substitute)
                    && gain(substitute, machine, leftS, moveS) > 0) {
                return machine;
            }
        }
        return null;
    }

    /** Whether a task can be stopped at little cost, and its job's rules of place let it move by itself. */
    private static boolean movable(Placement placement) {
        JobSpec spec = placement.job.spec;
        boolean cheap = spec.isService() || spec.checkpointIntervalS() > 0 || spec.priority() == Priority.IDLE;
        return cheap
                && !spec.isGang()
                && !spec.oneZone()
                && !spec.spreadAcrossZones()
                && !placement.stopping
                && !placement.standby;
    }

    private double leftS(Placement placement, double nowS) {
        if (placement.job.spec.isService()) {
            return Constants.ASSUMED_SERVICE_RENTAL_S;
        }
        double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
        return cluster.expectedRunS(placement.job) - ranS;
    }

    private static double moveS(Placement placement, Machine substitute) {
        JobSpec spec = placement.job.spec;
        double fetchS = spec.imageGb() / Math.max(0.01, substitute.type.fetchGbPerS());
        return spec.checkpointSaveS() + fetchS + Constants.Zones.MOVE_OVERHEAD_S;
    }

    private static boolean allowsAll(Machine home, Machine substitute) {
        for (Placement placement : substitute.placements.values()) {
            if (!placement.job.spec.allows(home.type.name(), home.zone, home.spot)) {
                return false;
            }
        }
        return true;
    }

    /** What the move saves, in money. */
    private static double gain(Machine substitute, Machine home, double leftS, double moveS) {
        double stays = substitute.type.pricePerHour(substitute.spot) * leftS;
        double moves = home.type.pricePerHour(home.spot) * (leftS + moveS)
                + substitute.type.pricePerHour(substitute.spot) * moveS;
        return (stays - moves) / S_PER_HOUR;
    }
}
