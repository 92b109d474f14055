package org.mountlug.core.cluster;

import java.util.HashMap;
import java.util.Map;

/** Counts the starts that have succeeded and that were lost in each zone since this term began. */
public final class StartCounts {
    private final Map<String, Long> succeededByZone = new HashMap<>();
    private final Map<String, Long> lostByZone = new HashMap<>();

    /** Records that an attempt in this zone has been reported as running. */
    void addSucceeded(String zone) {
        succeededByZone.merge(zone, 1L, Long::sum);
    }

    /** Records that an attempt in this zone has ended and was never reported as running. */
    void addLost(String zone) {
        lostByZone.merge(zone, 1L, Long::sum);
    }

    /** Returns the number of starts in this zone that have succeeded. */
    public long succeeded(String zone) {
        return succeededByZone.getOrDefault(zone, 0L);
    }

    /** Returns the number of attempts in this zone that ended without ever running. */
    public long lost(String zone) {
        return lostByZone.getOrDefault(zone, 0L);
    }
}
