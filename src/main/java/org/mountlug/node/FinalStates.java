package org.mountlug.node;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import org.mountlug.Constants;

/** Final states of jobs; they never change, so a node may answer from here at any time. */
final class FinalStates {
    record State(boolean done, int tasks) {}

    private final Cache<String, State> cache = CacheBuilder.newBuilder()
            .maximumSize(Constants.FINAL_CACHE)
            .concurrencyLevel(1)
            .build();

    void put(String id, boolean done, int tasks) {
        cache.put(id, new State(done, tasks));
    }

    State get(String id) {
        return cache.getIfPresent(id);
    }
}
