package org.mountlug.core.model;

/** What a task takes of a machine, or a machine offers. Amounts are decimal, so comparisons allow for rounding. */
public record Resources(double cpus, double gpus, double ramGb) {
    public static final Resources ZERO = new Resources(0, 0, 0);
    private static final double EPS = 1e-6;

    /** The sum of both. */
    public Resources plus(Resources o) {
        return new Resources(cpus + o.cpus, gpus + o.gpus, ramGb + o.ramGb);
    }

    /** What is left after the other is taken away; may be negative. */
    public Resources minus(Resources o) {
        return new Resources(cpus - o.cpus, gpus - o.gpus, ramGb - o.ramGb);
    }

    /** Whether this much fits into {@code room}. */
    public boolean fitsIn(Resources capacity) {
        return cpus <= capacity.cpus + EPS && gpus <= capacity.gpus + EPS && ramGb <= capacity.ramGb + EPS;
    }

    /** How many of this fit into {@code room} side by side. */
    public int countIn(Resources capacity) {
        double n = Integer.MAX_VALUE;
        if (cpus > 0) {
            n = Math.min(n, (capacity.cpus + EPS) / cpus);
        }
        if (gpus > 0) {
            n = Math.min(n, (capacity.gpus + EPS) / gpus);
        }
        if (ramGb > 0) {
            n = Math.min(n, (capacity.ramGb + EPS) / ramGb);
        }
        return (int) Math.max(0, Math.floor(n));
    }

    /** The largest share of any one resource that this takes of {@code whole}. */
    public double dominantShareOf(Resources total) {
        double s = 0;
        if (total.cpus > 0) {
            s = Math.max(s, cpus / total.cpus);
        }
        if (total.gpus > 0) {
            s = Math.max(s, gpus / total.gpus);
        }
        if (total.ramGb > 0) {
            s = Math.max(s, ramGb / total.ramGb);
        }
        return s;
    }

    /** Whether there is nothing of any kind. */
    public boolean isZero() {
        return cpus <= EPS && gpus <= EPS && ramGb <= EPS;
    }
}
