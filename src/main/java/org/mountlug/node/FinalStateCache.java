package org.mountlug.node;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import org.mountlug.Constants;

/** Caches the final states of jobs. They never change, so a response may be based on them at any time. */
final class FinalStateCache {
    record FinalState(boolean done, int tasks) {}

    private final Cache<String, FinalState> cache = CacheBuilder.newBuilder()
            .maximumSize(Constants.FINAL_STATE_CACHE_SIZE)
            .concurrencyLevel(1)
            .build();

    void put(String id, boolean done, int tasks) {
        cache.put(id, new FinalState(done, tasks));
    }

    FinalState get(String id) {
        return cache.getIfPresent(id);
    }
}
