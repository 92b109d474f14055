package org.mountlug.core.scale;

import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Resources;

/**
 * A machine that is there, boots or is to be ordered, with the work that a plan leaves to it: in parts of the machine times
 * seconds, as a fluid.
 */
final class PlannedMachine {
    final MachineType type;
    final String zone;
    final boolean spot;
    final double readyInS;
    /** What work that ends may use of it; replicas take theirs off. */
    Resources capacity;

    private double load;

    PlannedMachine(MachineType type, String zone, boolean spot, double bootS) {
        this(type, zone, spot, bootS, type.capacity());
    }

    PlannedMachine(MachineType type, String zone, boolean spot, double bootS, Resources size) {
        this.capacity = size;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.readyInS = bootS;
    }

    /** How many tasks it takes within the horizon; one wave at least if it is still empty. */
    int assign(JobSpec s, double expectedRunS, double horizonS, int wanted) {
        int slots = s.request().countIn(capacity);
        if (slots == 0) {
            return 0;
        }
        if (s.isService()) {
            int k = Math.min(wanted, slots);
            capacity = capacity.minus(new Resources(
                    s.request().cpus() * k, s.request().gpus() * k, s.request().ramGb() * k));
            return k;
        }
        double t = Math.max(horizonS - readyInS, readyInS > 0 ? Math.min(expectedRunS, horizonS) : 0);
        if (t <= 0) {
            return 0;
        }
        double each = Math.min(expectedRunS, t) / slots;
        int k = (int) Math.min(wanted, Math.floor((t - load) / each + 1e-6));
        if (s.isGang()) {
            k = Math.min(k, slots); // all of a gang runs at the same time, never in waves
        }
        if (k <= 0) {
            return 0;
        }
        load += k * each;
        return k;
    }

    /** Whether it is of a kind on which a task of the job may run. */
    boolean allows(JobSpec spec, boolean cpuOnly) {
        return spec.allows(type.name(), zone, spot)
                && !(cpuOnly && type.capacity().gpus() > 0);
    }

    /** Adds work that is on it already, seconds of it for a task of this size. */
    void addLoad(double seconds, Resources need) {
        load += seconds * need.dominantShareOf(capacity);
    }

    /** One more of the same kind, with nothing to do. */
    PlannedMachine emptyCopy() {
        return new PlannedMachine(type, zone, spot, readyInS);
    }

    /** Its type, zone and market. */
    CapacityPool pool() {
        return new CapacityPool(type.name(), zone, spot);
    }
}
