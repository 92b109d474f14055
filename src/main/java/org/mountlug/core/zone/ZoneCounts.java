package org.mountlug.core.zone;

/**
 * Numbers of machines of a zone by the time since their last report. Machines that the cloud's list no longer shows are left
 * out, because they are gone and their silence does not point to a network fault.
 *
 * @param machines machines that have come up
 * @param everReported machines that have reported to this leader at any time
 * @param reporting machines that have reported within a worker lease
 * @param late machines whose next report is overdue, including silent ones
 * @param silent machines that have been silent for longer than a worker lease
 */
public record ZoneCounts(int machines, int everReported, int reporting, int late, int silent) {
    /** The counts of a zone without machines. */
    public static final ZoneCounts NONE = new ZoneCounts(0, 0, 0, 0, 0);

    /** Whether more machines are late than would be by independent failures: more than 2 and more than this share. */
    public boolean hasManyLate(double share) {
        return late > Math.max(2, everReported * share);
    }

    /** Whether most machines are silent; false if there are too few machines to judge the zone. */
    boolean isMostlySilent(ZoneThresholds thresholds) {
        return machines >= thresholds.minMachines() && silent > machines * thresholds.suspectShare();
    }
}
