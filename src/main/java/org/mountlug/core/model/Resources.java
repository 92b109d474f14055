package org.mountlug.core.model;

/** Amounts of resources that a task requests or a machine offers; comparisons tolerate rounding errors. */
public record Resources(double cpus, double gpus, double ramGb) {
    public static final Resources ZERO = new Resources(0, 0, 0);
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Returns the sum of both. */
    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, ramGb + other.ramGb);
    }

    /** Returns the difference of both, whose amounts may be negative. */
    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, ramGb - other.ramGb);
    }

    /** Whether these resources fit into {@code capacity}. */
    public boolean fitsIn(Resources capacity) {
        return cpus <= capacity.cpus + ROUNDING_TOLERANCE
                && gpus <= capacity.gpus + ROUNDING_TOLERANCE
                && ramGb <= capacity.ramGb + ROUNDING_TOLERANCE;
    }

    /** Returns how many times these resources fit into {@code capacity}; a very large number if they are all zero. */
    public int countIn(Resources capacity) {
        double count = Integer.MAX_VALUE;
        if (cpus > 0) {
            count = Math.min(count, (capacity.cpus + ROUNDING_TOLERANCE) / cpus);
        }
        if (gpus > 0) {
            count = Math.min(count, (capacity.gpus + ROUNDING_TOLERANCE) / gpus);
        }
        if (ramGb > 0) {
            count = Math.min(count, (capacity.ramGb + ROUNDING_TOLERANCE) / ramGb);
        }
        return (int) Math.max(0, Math.floor(count));
    }

    /** Returns the dominant share: the largest of the shares of {@code total} over the resource types. */
    public double dominantShareOf(Resources total) {
        double share = 0;
        if (total.cpus > 0) {
            share = Math.max(share, cpus / total.cpus);
        }
        if (total.gpus > 0) {
            share = Math.max(share, gpus / total.gpus);
        }
        if (total.ramGb > 0) {
            share = Math.max(share, ramGb / total.ramGb);
        }
        return share;
    }

    /** Whether all amounts are zero or negative. */
    public boolean isZero() {
        return cpus <= ROUNDING_TOLERANCE && gpus <= ROUNDING_TOLERANCE && ramGb <= ROUNDING_TOLERANCE;
    }
}
