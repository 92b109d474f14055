package org.mountlug.core.model;

/** A team's guarantee and limit; 0 means none, and {@code weight} is its share when more is asked than can be done. */
public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax, double weight) {
    /** Whether {@code used} keeps to the team's limit. */
    public boolean allows(Resources used) {
        return (cpusMax <= 0 || used.cpus() <= cpusMax + 1e-6) && (gpusMax <= 0 || used.gpus() <= gpusMax + 1e-6);
    }

    /** Whether {@code used} stays within what the team is guaranteed; a team without a guarantee has nothing. */
    public boolean guarantees(Resources used) {
        return (cpus > 0 || gpus > 0) && used.cpus() <= cpus + 1e-6 && used.gpus() <= gpus + 1e-6;
    }
}
