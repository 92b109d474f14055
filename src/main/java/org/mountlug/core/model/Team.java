package org.mountlug.core.model;

/** A team's guarantee and limit; 0 means none, and {@code weight} is its share when more is asked than can be done. */
public record Team(
        String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus, double weight) {
    /** Whether {@code used} keeps to the team's limit. */
    public boolean isWithinLimit(Resources used) {
        return (maxCpus <= 0 || used.cpus() <= maxCpus + 1e-6) && (maxGpus <= 0 || used.gpus() <= maxGpus + 1e-6);
    }

    /** Whether {@code used} stays within what the team is guaranteed; a team without a guarantee has nothing. */
    public boolean isWithinGuarantee(Resources used) {
        return (guaranteedCpus > 0 || guaranteedGpus > 0)
                && used.cpus() <= guaranteedCpus + 1e-6
                && used.gpus() <= guaranteedGpus + 1e-6;
    }
}
