package org.mountlug.node;

import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;
import org.mountlug.wire.HttpTransport;
import org.mountlug.wire.Json;
import org.mountlug.wire.PooledHttpClient;

/** An in-memory state service: its protocol with revisions, leases, watches, size and rate limits, and outages. */
final class FakeStateService {
    /** How requests of one controller fare; one without a response ends with status 0 at the client's timeout. */
    enum Link {
        HEALTHY,
        /** Requests get status 503; watches get no response. */
        REFUSED,
        /** Requests get no response; transactions are kept in {@link #heldTransactions}. */
        PARTITIONED,
        /** Transactions are executed at once, but their responses are lost. */
        RESPONSES_LOST,
        /** Transactions get no response and are executed {@link #writeDelayS} later. */
        WRITES_DELAYED
    }

    /** Seconds by which transactions over a {@link Link#WRITES_DELAYED} link are executed late. */
    double writeDelayS = 3;
    /** Requests per second that are accepted, with a burst of one second's worth; infinity switches both rate limits off. */
    double requestsPerS = Double.POSITIVE_INFINITY;

    /** Writes per second that are accepted, with a burst of one second's worth. */
    double writesPerS = Double.POSITIVE_INFINITY;
    /** Whether refused requests count towards the rate limits; the protocol does not define it. */
    boolean refusalsConsumeLimit = true;
    /** Number of requests that the rate limits refused. */
    int rateLimitedRequests;

    /** Requests that the rate limit still admits; {@code NaN} before the first request. */
    private double requestsLeft = Double.NaN;
    /** Writes that the rate limit still admits. */
    private double writesLeft;

    private double lastRefillS;
    /** Seconds by which every response takes longer. */
    double extraLatencyS;
    /** Called with each transaction just before its controller sends it; may be null. */
    java.util.function.BiConsumer<SimulatedCluster.ControllerProcess, Map<String, Object>> onTransaction;

    /** Requests for this path get status 503; null for none. */
    String refusedPath;

    /** Number of transactions executed over a {@link Link#WRITES_DELAYED} link. */
    int delayedWritesApplied;
    /** Number of transactions executed over a {@link Link#WRITES_DELAYED} link that succeeded. */
    int delayedWritesSucceeded;
    /** Number of transactions that succeeded while their responses were lost. */
    int writesWithLostResponse;

    private record Row(Object value, long revision, long leaseId) {}

    /** A change as watches report it. */
    private record LogEntry(long revision, Map<String, Object> change) {}

    private final SimulatedCluster cluster;
    private final int maxWrites;
    private final int maxValueBytes;
    /** Enforced limit on a transaction's writes, which a test can lower without notice; beyond it, status 400. */
    private int currentMaxWrites;
    /** Enforced limit on a value's bytes, which a test can lower without notice; beyond it, status 400. */
    private int currentMaxValueBytes;
    /** Number of transactions refused for their size. */
    int oversizedWritesRefused;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<LogEntry> log = new ArrayList<>();
    /** Duration and end of each lease, in seconds, by id. */
    private final Map<Long, double[]> leases = new TreeMap<>();
    /** Transactions sent over a {@link Link#PARTITIONED} link, for a test to execute late. */
    final List<Runnable> heldTransactions = new ArrayList<>();

    private long revision = 1;
    private long nextLeaseId = 7;
    /** Whether the state service is unavailable: requests get status 503, watches no response, and leases do not end. */
    boolean outage;
    /** Size of the largest value in any transaction, whether it was executed or not. */
    int largestValueBytes;

    /**
     * Creates an empty state service.
     *
     * @param maxOps most writes of a transaction; more are recorded as a violation
     * @param maxValueKb largest value in KiB; a larger one is recorded as a violation
     */
    FakeStateService(SimulatedCluster cluster, int maxOps, int maxValueKb) {
        this.cluster = cluster;
        this.maxWrites = maxOps;
        this.maxValueBytes = maxValueKb * 1024;
        this.currentMaxWrites = maxOps;
        this.currentMaxValueBytes = maxValueBytes;
    }

    /** Returns the transport of a controller, over a link whose state is read at each request. */
    HttpTransport connectionFrom(SimulatedCluster.ControllerProcess from, java.util.function.Supplier<Link> link) {
        return (method, path, body, timeoutMs, then) -> {
            // Encodes and decodes the body, so that the controller and the state service share no object.
            Map<String, Object> copy = body == null ? Map.of() : copy(body);
            if (path.equals("/multi") && onTransaction != null) {
                onTransaction.accept(from, copy);
            }
            Link currentLink = link.get();
            if (currentLink == Link.PARTITIONED) {
                if (path.equals("/multi")) {
                    heldTransactions.add(() -> executeTransaction(copy));
                }
                cluster.schedule(
                        timeoutMs / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            } else if (path.equals("/multi") && currentLink == Link.WRITES_DELAYED && !outage) {
                cluster.schedule(writeDelayS, () -> {
                    delayedWritesApplied++;
                    if ((int) executeTransaction(copy)[0] == 200) {
                        delayedWritesSucceeded++;
                    }
                });
                cluster.schedule(
                        timeoutMs / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            } else if (path.equals("/multi") && currentLink == Link.RESPONSES_LOST && !outage) {
                cluster.schedule(0.002, () -> {
                    if ((int) executeTransaction(copy)[0] == 200) {
                        writesWithLostResponse++;
                    }
                });
                cluster.schedule(
                        timeoutMs / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            } else {
                cluster.schedule(0.002, () -> {
                    if (path.startsWith("/watch")) {
                        watch(path, cluster.nowS + timeoutMs / 1000.0, link, then);
                    } else if (currentLink == Link.REFUSED || outage || path.equals(refusedPath)) {
                        respond(then, 503, Map.of());
                    } else if (isOverRateLimit(copy)) {
                        respond(then, 429, Map.of());
                    } else {
                        handleRequest(method, path, copy, then);
                    }
                });
            }
        };
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> copy(Object value) {
        try {
            return (Map<String, Object>) Cbor.read(Cbor.write(value));
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Counts the request and its writes, and returns whether either rate limit refuses it. */
    private boolean isOverRateLimit(Map<String, Object> body) {
        if (Double.isInfinite(requestsPerS)) {
            return false;
        }
        double elapsedS = Double.isNaN(requestsLeft) ? 1 : cluster.nowS - lastRefillS;
        lastRefillS = cluster.nowS;
        int writeCount = Fields.getList(body, "writes").size();
        requestsLeft =
                Math.min(requestsPerS, (Double.isNaN(requestsLeft) ? 0 : requestsLeft) + elapsedS * requestsPerS) - 1;
        writesLeft = Math.min(writesPerS, writesLeft + elapsedS * writesPerS) - writeCount;
        if (requestsLeft >= 0 && writesLeft >= 0) {
            return false;
        }
        if (!refusalsConsumeLimit) {
            requestsLeft++;
            writesLeft += writeCount;
        }
        rateLimitedRequests++;
        return true;
    }

    private void respond(Consumer<PooledHttpClient.Response> then, int status, Map<String, Object> body) {
        cluster.schedule(
                0.002 + extraLatencyS, () -> then.accept(new PooledHttpClient.Response(status, copy(body), true)));
    }

    private void handleRequest(
            HttpString method, String path, Map<String, Object> body, Consumer<PooledHttpClient.Response> then) {
        expireLeases();
        String methodName = method.toString();
        if (path.startsWith("/kv?")) {
            String prefix = queryParameter(path, "prefix");
            String after = queryParameter(path, "after");
            List<Object> page = new ArrayList<>();
            boolean hasNext = false;
            for (Map.Entry<String, Row> entry :
                    rows.tailMap(after == null ? prefix : after, after == null).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) {
                    break;
                }
                if (page.size() == 5) { // small pages exercise the paging of the client
                    hasNext = true;
                    break;
                }
                page.add(Map.of(
                        "k",
                        entry.getKey(),
                        "v",
                        entry.getValue().value(),
                        "stamp",
                        entry.getValue().revision()));
            }
            respond(then, 200, Map.of("rows", page, "hasNext", hasNext, "epoch", revision));
        } else if (path.startsWith("/kv/")) {
            Row row = rows.get(path.substring(4));
            if (row == null) {
                respond(then, 404, Map.of("epoch", revision));
            } else {
                respond(
                        then,
                        200,
                        Map.of(
                                "k",
                                path.substring(4),
                                "v",
                                row.value(),
                                "stamp",
                                row.revision(),
                                "hold",
                                row.leaseId()));
            }
        } else if (path.equals("/multi")) {
            Object[] result = executeTransaction(body);
            respond(then, (int) result[0], Fields.asMap(result[1]));
        } else if (path.equals("/holds")) {
            double durationS = Fields.getLong(body, "lifeMs", 0) / 1000.0;
            leases.put(nextLeaseId, new double[] {durationS, cluster.nowS + durationS});
            respond(then, 200, Map.of("hold", nextLeaseId++));
        } else {
            long id = Long.parseLong(path.split("/")[2]);
            double[] lease = leases.get(id);
            if (lease == null) {
                respond(then, 404, Map.of());
            } else {
                lease[1] = methodName.equals("DELETE") ? 0 : cluster.nowS + lease[0];
                expireLeases();
                respond(then, 200, Map.of());
            }
        }
    }

    private static String queryParameter(String path, String name) {
        for (String parameter : path.substring(path.indexOf('?') + 1).split("&")) {
            if (parameter.startsWith(name + "=")) {
                return parameter.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Executes a transaction and returns the response's status code and body. */
    private Object[] executeTransaction(Map<String, Object> body) {
        expireLeases();
        List<Object> failed = new ArrayList<>();
        for (Object item : Fields.getList(body, "guards")) {
            Map<String, Object> guard = Fields.asMap(item);
            Row row = rows.get(Fields.getString(guard, "k"));
            if ((row == null ? 0 : row.revision()) != Fields.getLong(guard, "stamp", -1)) {
                failed.add(guard.get("k"));
            }
        }
        List<Object> writes = Fields.getList(body, "writes");
        boolean withinSizeLimit = true;
        if (writes.size() > maxWrites) {
            cluster.recordViolation("transaction has " + writes.size() + " writes");
        }
        if (Json.length(body) > 64 * 1024) {
            cluster.recordViolation("transaction is larger than 64 KiB");
        }
        for (Object item : writes) {
            Map<String, Object> write = Fields.asMap(item);
            int size = write.containsKey("put") ? Json.length(write.get("v")) : 0;
            largestValueBytes = Math.max(largestValueBytes, size);
            if (size > currentMaxValueBytes) {
                withinSizeLimit = false;
            }
            if (size > maxValueBytes) {
                cluster.recordViolation("value of " + write.get("put") + " has " + size + " bytes");
            }
            if (write.get("hold") instanceof Number leaseId && !leases.containsKey(leaseId.longValue())) {
                return new Object[] {400, Map.of("error", "no such lease")};
            }
        }
        if (!withinSizeLimit || writes.size() > currentMaxWrites) {
            oversizedWritesRefused++;
            return new Object[] {400, Map.of("error", "too large")};
        }
        if (!failed.isEmpty()) {
            return new Object[] {409, Map.of("failed", failed, "epoch", revision)};
        }
        revision++;
        for (Object item : writes) {
            Map<String, Object> write = Fields.asMap(item);
            String key = Fields.getString(write, "put");
            if (key != null) {
                put(key, new Row(write.get("v"), revision, Fields.getLong(write, "hold", 0)));
            } else {
                delete(Fields.getString(write, "delete"));
            }
        }
        return new Object[] {200, Map.of("epoch", revision)};
    }

    private void put(String key, Row row) {
        rows.put(key, row);
        log.add(new LogEntry(revision, Map.of("put", key, "v", row.value(), "stamp", revision)));
    }

    private void delete(String key) {
        if (rows.remove(key) != null) {
            log.add(new LogEntry(revision, Map.of("delete", key, "stamp", revision)));
        }
    }

    /** Ends the outage and renews every lease for its full duration. */
    void recover() {
        outage = false;
        for (double[] lease : leases.values()) {
            lease[1] = cluster.nowS + lease[0];
        }
    }

    /** Removes ended leases with their keys, unless there is an outage. */
    private void expireLeases() {
        if (outage) {
            return;
        }
        for (long id : List.copyOf(leases.keySet())) {
            if (leases.get(id)[1] > cluster.nowS) {
                continue;
            }
            leases.remove(id);
            for (Map.Entry<String, Row> row : new ArrayList<>(rows.entrySet())) {
                if (row.getValue().leaseId() == id) {
                    revision++;
                    delete(row.getKey());
                }
            }
        }
    }

    /**
     * Responds when a key with the prefix has changed since the given revision or when the blocking time ends, and with
     * status 0 at the client's timeout.
     */
    private void watch(
            String path,
            double giveUpS,
            java.util.function.Supplier<Link> link,
            Consumer<PooledHttpClient.Response> then) {
        String prefix = queryParameter(path, "prefix");
        long after = Long.parseLong(queryParameter(path, "after"));
        double blockUntilS = cluster.nowS + Long.parseLong(queryParameter(path, "blockMs")) / 1000.0;
        Runnable[] poll = new Runnable[1];
        poll[0] = () -> {
            if (cluster.nowS >= giveUpS) {
                then.accept(new PooledHttpClient.Response(0, Map.of(), true));
                return;
            }
            if (link.get() != Link.REFUSED && link.get() != Link.PARTITIONED && !outage) {
                expireLeases();
                List<Object> changes = new ArrayList<>();
                for (int i = log.size() - 1; i >= 0 && log.get(i).revision() > after; i--) {
                    Map<String, Object> change = log.get(i).change();
                    if (String.valueOf(change.getOrDefault("put", change.get("delete")))
                            .startsWith(prefix)) {
                        changes.add(0, change);
                    }
                }
                if (!changes.isEmpty() || cluster.nowS >= blockUntilS) {
                    respond(then, 200, Map.of("epoch", revision, "news", changes));
                    return;
                }
            }
            cluster.schedule(0.05, poll[0]);
        };
        poll[0].run();
    }

    /** Executes a copy of a transaction again and returns the status code. */
    int replayTransaction(Map<String, Object> body) {
        return (int) executeTransaction(copy(body))[0];
    }

    /** Sets the enforced limits on the size of a value and on the writes of a transaction. */
    void setSizeLimits(double valueKb, int ops) {
        currentMaxValueBytes = (int) (valueKb * 1024);
        currentMaxWrites = ops;
    }

    /** Returns the stored keys with the prefix, in order. */
    List<String> keys(String prefix) {
        return rows.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Returns the value of the key; null if it is not stored. */
    Object value(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value();
    }

    /** Writes without guards or limits, as a program other than the controllers might. */
    void writeUnchecked(String key, Map<String, Object> value) {
        revision++;
        put(key, new Row(value, revision, 0));
    }
}
