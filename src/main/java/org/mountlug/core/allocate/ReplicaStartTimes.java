package org.mountlug.core.allocate;

import java.util.function.ToDoubleFunction;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;

/**
 * Estimates when a replica would run if it were placed on a machine now; most of the time goes into fetching its image.
 *
 * @param startWithinS seconds from its submission within which a service should run
 * @param nowS monotonic time in seconds
 */
public record ReplicaStartTimes(ToDoubleFunction<Job> startWithinS, double nowS) {

    /** Returns the estimated seconds until the machine has the job's image; 0 if it is cached. */
    public double imageFetchS(Job job, Machine machine) {
        if (machine.cachedImages.contains(job.spec.image())) {
            return 0;
        }
        double fetchS = job.spec.imageGb() / Math.max(0.01, machine.type.fetchGbPerS());
        for (Placement placement : machine.placements.values()) {
            // Another task there uses the same image, whose fetch is under way and serves both.
            if (placement.job.spec.image().equals(job.spec.image())) {
                return fetchS * Constants.SHARED_FETCH_SHARE;
            }
        }
        return fetchS;
    }

    /**
     * Returns the seconds by which a replica would be late on the machine if its image were fetched slowly. The result is
     * at most the duration of the start: lateness that has passed already is the same on every machine and does not count.
     */
    public double latenessS(Job job, Machine machine) {
        double startDurationS = imageFetchS(job, machine) * Constants.SLOW_FETCH_FACTOR + Constants.REPLICA_START_S;
        return Math.max(
                0,
                Math.min(startDurationS, nowS - job.waitingSinceS + startDurationS - startWithinS.applyAsDouble(job)));
    }

    /**
     * Whether the service is so new that it waits rather than be placed where it would be late or, if it is CPU-only, on an
     * accelerator machine.
     */
    public boolean mayWaitForBetterMachine(Job job) {
        return nowS - job.waitingSinceS < Constants.CPU_MACHINES_FIRST_S;
    }
}
