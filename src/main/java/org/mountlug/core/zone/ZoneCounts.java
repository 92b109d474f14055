package org.mountlug.core.zone;

/**
 * Machines of a zone by when they were last heard of. Machines that the cloud's list no longer shows are left out: the cloud
 * says that they are gone, which is no fault of the network.
 *
 * @param machines those that have come up
 * @param everReported those that have reported to this leader at all
 * @param reporting those that have reported within a lease
 * @param late those that have missed a report
 * @param silent those that have been silent for longer than a lease
 */
public record ZoneCounts(int machines, int everReported, int reporting, int late, int silent) {
    /** A zone without machines. */
    public static final ZoneCounts NONE = new ZoneCounts(0, 0, 0, 0, 0);

    /** Whether more machines are quiet than fall silent by themselves. */
    public boolean hasManyLate(double share) {
        return late > Math.max(2, everReported * share);
    }

    /** Whether most machines are silent. */
    boolean isMostlySilent(ZoneThresholds thresholds) {
        return machines >= thresholds.minMachines() && silent > machines * thresholds.suspectShare();
    }
}
