package org.mountlug.core.allocate;

import java.util.function.ToDoubleFunction;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;

/**
 * When a replica would run if it were started on a machine now: fetching its image takes most of it.
 *
 * @param startWithinS seconds from its submission within which a service should run
 */
public record ReplicaStartTimes(ToDoubleFunction<Job> startWithinS, double nowS) {

    /** Seconds until the image is there. */
    public double imageFetchS(Job j, Machine m) {
        if (m.cachedImages.contains(j.spec.image())) {
            return 0;
        }
        double fetch = j.spec.imageGb() / Math.max(0.01, m.type.fetchGbPerS());
        for (Placement p : m.placements.values()) {
            // That one's fetch is under way, and one serves both.
            if (p.job.spec.image().equals(j.spec.image())) {
                return fetch * Constants.SHARED_FETCH_SHARE;
            }
        }
        return fetch;
    }

    /** Seconds by which it would be late, reckoned with a slow fetch; none of them for what has already gone by. */
    public double latenessS(Job j, Machine m) {
        double takes = imageFetchS(j, m) * Constants.SLOW_FETCH_FACTOR + Constants.REPLICA_START_S;
        return Math.max(0, Math.min(takes, nowS - j.waitingSinceS + takes - startWithinS.applyAsDouble(j)));
    }

    /** Whether there may yet be a better place than an accelerator machine or one that makes it late. */
    public boolean canWait(Job j) {
        return nowS - j.waitingSinceS < Constants.CHEAP_FIRST_S;
    }
}
