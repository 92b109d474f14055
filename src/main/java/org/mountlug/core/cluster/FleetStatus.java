package org.mountlug.core.cluster;

/** Numbers that tell an operator how the jobs and machines of the leader stand. */
public record FleetStatus(
        int liveJobs,
        int suspectedJobs,
        int machines,
        int booting,
        int silent,
        int quarantined,
        long lostTasks,
        long failedTasks) {}
