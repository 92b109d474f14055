package org.mountlug.core.model;

/**
 * A team with its guaranteed and maximum resources, where 0 stands for no guarantee and for no limit.
 *
 * @param weight the weight of the team's queue while demand exceeds capacity
 */
public record Team(
        String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus, double weight) {
    /** Whether the usage is within the team's limit. */
    public boolean isWithinLimit(Resources usage) {
        return (maxCpus <= 0 || usage.cpus() <= maxCpus + 1e-6) && (maxGpus <= 0 || usage.gpus() <= maxGpus + 1e-6);
    }

    /** Whether the usage is within the team's guarantee; never true for a team without a guarantee. */
    public boolean isWithinGuarantee(Resources usage) {
        return (guaranteedCpus > 0 || guaranteedGpus > 0)
                && usage.cpus() <= guaranteedCpus + 1e-6
                && usage.gpus() <= guaranteedGpus + 1e-6;
    }
}
