package org.mountlug.core.zone;

/**
 * Machines of a zone by when they were last heard of. Machines that the cloud's list no longer shows are left out: the cloud
 * says that they are gone, which is no fault of the network.
 *
 * @param machines those that have come up
 * @param reporting those that have reported to this leader at all
 * @param heard those that have reported within a lease
 * @param quiet those that have missed a report
 * @param silent those that have been silent for longer than a lease
 */
public record ZoneCounts(int machines, int reporting, int heard, int quiet, int silent) {
    /** A zone without machines. */
    public static final ZoneCounts NONE = new ZoneCounts(0, 0, 0, 0, 0);

    /** Whether more machines are quiet than fall silent by themselves. */
    public boolean manyQuiet(double share) {
        return quiet > Math.max(2, reporting * share);
    }

    /** Whether most machines are silent. */
    boolean mostSilent(ZoneThresholds thresholds) {
        return machines >= thresholds.leastMachines() && silent > machines * thresholds.suspectShare();
    }
}
