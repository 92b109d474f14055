package org.mountlug.core.cluster;

import java.util.HashMap;
import java.util.Map;

/** How many starts have succeeded and how many came to nothing in each zone, since this term began. */
public final class StartCounts {
    private final Map<String, Long> succeeded = new HashMap<>();
    private final Map<String, Long> lost = new HashMap<>();

    /** A task that was placed in this zone runs. */
    void addSucceeded(String zone) {
        succeeded.merge(zone, 1L, Long::sum);
    }

    /** A task that was placed in this zone is gone and never ran. */
    void addLost(String zone) {
        lost.merge(zone, 1L, Long::sum);
    }

    /** Starts in this zone that have succeeded. */
    public long succeeded(String zone) {
        return succeeded.getOrDefault(zone, 0L);
    }

    /** Starts in this zone that came to nothing. */
    public long lost(String zone) {
        return lost.getOrDefault(zone, 0L);
    }
}
