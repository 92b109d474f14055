package org.mountlug.core.scale;

import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Resources;

/**
 * A machine that is up, boots or is to be rented, with the work that a plan assigns to it. Work is treated as a fluid and
 * summed up in seconds for which it would use the whole machine.
 */
final class PlannedMachine {
    final MachineType type;
    final String zone;
    final boolean spot;
    final double readyInS;
    /** Capacity for array and gang tasks; each assigned replica reduces it for good. */
    Resources capacity;

    private double loadS;

    PlannedMachine(MachineType type, String zone, boolean spot, double readyInS) {
        this(type, zone, spot, readyInS, type.capacity());
    }

    PlannedMachine(MachineType type, String zone, boolean spot, double readyInS, Resources capacity) {
        this.capacity = capacity;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.readyInS = readyInS;
    }

    /**
     * Assigns up to {@code wanted} tasks and returns how many fit within the horizon; an empty machine takes at least as
     * many as it can run at the same time.
     *
     * @param horizonS seconds from now within which the machine must be able to run the tasks
     */
    int assign(JobSpec spec, double expectedRunS, double horizonS, int wanted) {
        int slots = spec.request().countIn(capacity);
        if (slots == 0) {
            return 0;
        }
        if (spec.isService()) {
            int assigned = Math.min(wanted, slots);
            capacity = capacity.minus(new Resources(
                    spec.request().cpus() * assigned,
                    spec.request().gpus() * assigned,
                    spec.request().ramGb() * assigned));
            return assigned;
        }
        double availableS = Math.max(horizonS - readyInS, readyInS > 0 ? Math.min(expectedRunS, horizonS) : 0);
        if (availableS <= 0) {
            return 0;
        }
        double perTaskS = Math.min(expectedRunS, availableS) / slots;
        int assigned = (int) Math.min(wanted, Math.floor((availableS - loadS) / perTaskS + 1e-6));
        if (spec.isGang()) {
            assigned = Math.min(assigned, slots); // the tasks of a gang must all run at the same time
        }
        if (assigned <= 0) {
            return 0;
        }
        loadS += assigned * perTaskS;
        return assigned;
    }

    /** Whether the job allows this machine's type, zone and market; {@code cpuOnly} excludes machines with accelerators. */
    boolean allows(JobSpec spec, boolean cpuOnly) {
        return spec.allows(type.name(), zone, spot)
                && !(cpuOnly && type.capacity().gpus() > 0);
    }

    /** Adds the remaining seconds of a task that already runs here and has this resource request. */
    void addLoad(double remainingS, Resources request) {
        loadS += remainingS * request.dominantShareOf(capacity);
    }

    /** Returns a machine of the same pool without any work. */
    PlannedMachine emptyCopy() {
        return new PlannedMachine(type, zone, spot, readyInS);
    }

    /** Returns the machine's type, zone and market. */
    CapacityPool pool() {
        return new CapacityPool(type.name(), zone, spot);
    }
}
