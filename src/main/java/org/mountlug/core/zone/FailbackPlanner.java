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
 * Moves the work of substitute machines back to a returning zone if all tasks on the substitute can be stopped at little
 * cost, an idle machine of the zone has capacity for them, and the lower price there saves more than the move costs. All
 * other work on substitutes ends where it runs.
 */
final class FailbackPlanner {
    private static final double SECONDS_PER_HOUR = 3600;

    private final Cluster cluster;
    /** Substitutes that are being drained, with the zone that their work moves back to. */
    private final Map<Machine, String> zoneByDrainingMachine = new HashMap<>();

    FailbackPlanner(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Starts to drain substitutes, as many at a time as the ramp of the zone allows. */
    void planMoves(String zone, ZoneTracker tracker, double nowS) {
        zoneByDrainingMachine.keySet().removeIf(machine -> cluster.machines.get(machine.name) != machine);
        int maxDraining = Math.max(1, (int) (tracker.ramp().window() * Constants.Zones.CONCURRENT_MOVES_SHARE));
        Set<Machine> chosenTargets = new HashSet<>();
        for (Machine machine : cluster.machines.values()) {
            if (zoneByDrainingMachine.size() >= maxDraining) {
                return;
            }
            boolean candidate = machine.isSchedulable() && !machine.isEmpty() && machine.orphans.isEmpty();
            if (!candidate || !SubstituteMachines.isSubstitute(machine, zone, tracker)) {
                continue;
            }
            Machine target = findTarget(machine, zone, chosenTargets, nowS);
            if (target != null) {
                chosenTargets.add(target);
                zoneByDrainingMachine.put(machine, zone);
                machine.draining = true;
                cluster.addEvent("vacating, its work moves back to zone " + zone, machine.name);
            }
        }
    }

    /** Stops draining the substitutes of a zone that is lost again; the work that is left on them stays there. */
    void cancel(String zone) {
        zoneByDrainingMachine.entrySet().removeIf(entry -> {
            if (entry.getValue().equals(zone)) {
                entry.getKey().draining = false;
                return true;
            }
            return false;
        });
    }

    /** Returns an idle machine of the zone to which moving the substitute's work pays off, or null. */
    private Machine findTarget(Machine substitute, String zone, Set<Machine> chosenTargets, double nowS) {
        double remainingS = 0;
        double moveDurationS = 0;
        Resources requested = Resources.ZERO;
        for (Placement placement : substitute.placements.values()) {
            if (!isMovable(placement)) {
                return null;
            }
            remainingS = Math.max(remainingS, remainingS(placement, nowS));
            moveDurationS = Math.max(moveDurationS, moveDurationS(placement, substitute));
            requested = requested.plus(placement.job.spec.request());
        }
        if (remainingS < Constants.Zones.MIN_MOVE_REMAINING_S) {
            return null;
        }
        for (Machine machine : cluster.machines.values()) {
            boolean idle = zone.equals(machine.zone) && machine.isSchedulable() && machine.isEmpty();
            if (idle
                    && !chosenTargets.contains(machine)
                    && requested.fitsIn(machine.type.capacity())
                    && allJobsAllow(machine, substitute)
                    && savings(substitute, machine, remainingS, moveDurationS) > 0) {
                return machine;
            }
        }
        return null;
    }

    /** Whether a task can be stopped at little cost, and its job's placement rules allow it to move on its own. */
    private static boolean isMovable(Placement placement) {
        JobSpec spec = placement.job.spec;
        boolean cheapToStop = spec.isService() || spec.checkpointIntervalS() > 0 || spec.priority() == Priority.IDLE;
        return cheapToStop
                && !spec.isGang()
                && !spec.oneZone()
                && !spec.spreadAcrossZones()
                && !placement.stopping
                && !placement.standby;
    }

    private double remainingS(Placement placement, double nowS) {
        if (placement.job.spec.isService()) {
            return Constants.ASSUMED_SERVICE_RENTAL_S;
        }
        double ranS = Double.isNaN(placement.runningSinceS) ? 0 : nowS - placement.runningSinceS;
        return cluster.expectedRunS(placement.job) - ranS;
    }

    private static double moveDurationS(Placement placement, Machine substitute) {
        JobSpec spec = placement.job.spec;
        double fetchS = spec.imageGb() / Math.max(0.01, substitute.type.fetchGbPerS());
        return spec.checkpointSaveS() + fetchS + Constants.Zones.MOVE_OVERHEAD_S;
    }

    private static boolean allJobsAllow(Machine target, Machine substitute) {
        for (Placement placement : substitute.placements.values()) {
            if (!placement.job.spec.allows(target.type.name(), target.zone, target.spot)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the money that the move saves, negative if it costs more than it saves. */
    private static double savings(Machine substitute, Machine target, double remainingS, double moveDurationS) {
        double costIfKept = substitute.type.pricePerHour(substitute.spot) * remainingS;
        double costIfMoved = target.type.pricePerHour(target.spot) * (remainingS + moveDurationS)
                + substitute.type.pricePerHour(substitute.spot) * moveDurationS;
        return (costIfKept - costIfMoved) / SECONDS_PER_HOUR;
    }
}
