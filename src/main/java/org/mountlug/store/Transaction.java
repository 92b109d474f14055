package org.mountlug.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A transaction for the state service under construction. */
public final class Transaction {
    private final List<Object> guards = new ArrayList<>();
    private final Set<String> guarded = new HashSet<>();
    private final List<Object> writes = new ArrayList<>();

    /** Makes the change depend on the revision of a key, 0 for one that does not exist. */
    public Transaction requireRevision(String key, long revision) {
        if (!guarded.add(key)) {
            return this;
        }
        Map<String, Object> g = new LinkedHashMap<>();
        g.put("k", key);
        g.put("stamp", revision);
        guards.add(g);
        return this;
    }

    /** Writes a key without a lease. */
    public Transaction put(String key, Map<String, Object> value) {
        Map<String, Object> w = new LinkedHashMap<>();
        w.put("put", key);
        w.put("v", value);
        writes.add(w);
        return this;
    }

    /** Writes a key that goes when the lease ends. */
    public Transaction put(String key, Map<String, Object> value, long lease) {
        Map<String, Object> w = new LinkedHashMap<>();
        w.put("put", key);
        w.put("v", value);
        w.put("hold", lease);
        writes.add(w);
        return this;
    }

    /** Removes a key. */
    public Transaction delete(String key) {
        writes.add(Map.of("delete", key));
        return this;
    }

    /** The number of writes, as the budget counts them. */
    public int writeCount() {
        return writes.size();
    }

    /** The body of the request. */
    public Map<String, Object> body() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("guards", guards);
        m.put("writes", writes);
        return m;
    }
}
