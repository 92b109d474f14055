package org.mountlug.core.cluster;

/**
 * Counts of the leader's jobs and machines by state, for operators.
 *
 * @param silent machines that have booted, but have not reported to this leader within the last worker lease
 * @param lostAttempts attempts that have ended without a result in this term
 * @param failedAttempts attempts that have failed in this term
 */
public record FleetStatus(
        int liveJobs,
        int suspectedJobs,
        int machines,
        int booting,
        int silent,
        int quarantined,
        long lostAttempts,
        long failedAttempts) {}
