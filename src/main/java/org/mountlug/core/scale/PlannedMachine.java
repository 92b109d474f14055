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
    final double bootS;
    /** What work that ends may use of it; replicas take theirs off. */
    Resources size;

    private double load;

    PlannedMachine(MachineType type, String zone, boolean spot, double bootS) {
        this(type, zone, spot, bootS, type.size());
    }

    PlannedMachine(MachineType type, String zone, boolean spot, double bootS, Resources size) {
        this.size = size;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.bootS = bootS;
    }

    /** How many tasks it takes within the horizon; one wave at least if it is still empty. */
    int takes(JobSpec s, double estS, double horizonS, int want) {
        int slots = s.need().countIn(size);
        if (slots == 0) {
            return 0;
        }
        if (s.service()) {
            int k = Math.min(want, slots);
            size = size.minus(new Resources(
                    s.need().cpus() * k, s.need().gpus() * k, s.need().ramGb() * k));
            return k;
        }
        double t = Math.max(horizonS - bootS, bootS > 0 ? Math.min(estS, horizonS) : 0);
        if (t <= 0) {
            return 0;
        }
        double each = Math.min(estS, t) / slots;
        int k = (int) Math.min(want, Math.floor((t - load) / each + 1e-6));
        if (s.gang()) {
            k = Math.min(k, slots); // all of a gang runs at the same time, never in waves
        }
        if (k <= 0) {
            return 0;
        }
        load += k * each;
        return k;
    }

    /** Whether it is of a kind on which a task of the job may run. */
    boolean allowedFor(JobSpec spec, boolean plainOnly) {
        return spec.allows(type.name(), zone, spot)
                && !(plainOnly && type.size().gpus() > 0);
    }

    /** Adds work that is on it already, seconds of it for a task of this size. */
    void addLoad(double seconds, Resources need) {
        load += seconds * need.shareOf(size);
    }

    /** One more of the same kind, with nothing to do. */
    PlannedMachine another() {
        return new PlannedMachine(type, zone, spot, bootS);
    }

    /** Its type, zone and market. */
    MachineKind kind() {
        return new MachineKind(type.name(), zone, spot);
    }
}
