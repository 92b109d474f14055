package org.mountlug.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Builds a transaction for the state service: guards, and the writes that are made if all guards hold. */
public final class Transaction {
    private final List<Object> guards = new ArrayList<>();
    private final Set<String> guardedKeys = new HashSet<>();
    private final List<Object> writes = new ArrayList<>();

    /**
     * Makes the transaction depend on the revision of a key, 0 for a key that does not exist. Only the first guard of
     * a key is kept.
     */
    public Transaction requireRevision(String key, long revision) {
        if (!guardedKeys.add(key)) {
            return this;
        }
        Map<String, Object> guard = new LinkedHashMap<>();
        guard.put("k", key);
        guard.put("stamp", revision);
        guards.add(guard);
        return this;
    }

    /** Adds a write of a key without a lease. */
    public Transaction put(String key, Map<String, Object> value) {
        Map<String, Object> write = new LinkedHashMap<>();
        write.put("put", key);
        write.put("v", value);
        writes.add(write);
        return this;
    }

    /** Adds a write of a key that is removed when the lease ends. */
    public Transaction put(String key, Map<String, Object> value, long lease) {
        Map<String, Object> write = new LinkedHashMap<>();
        write.put("put", key);
        write.put("v", value);
        write.put("hold", lease);
        writes.add(write);
        return this;
    }

    /** Adds the removal of a key. */
    public Transaction delete(String key) {
        writes.add(Map.of("delete", key));
        return this;
    }

    /** Returns the number of writes, as the state service's rate limit counts them. */
    public int writeCount() {
        return writes.size();
    }

    /** Returns the body of the request. */
    public Map<String, Object> body() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("guards", guards);
        body.put("writes", writes);
        return body;
    }
}
