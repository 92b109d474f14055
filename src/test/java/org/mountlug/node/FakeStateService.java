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

/** The state service in memory, by its protocol: versions, leases, watches, limits, outages. */
final class FakeStateService {
    /** How one node reaches it. */
    enum Link {
        HEALTHY,
        REFUSED,
        PARTITIONED,
        /** Transactions are carried out at once, but their answers are lost. */
        RESPONSES_LOST,
        /** Transactions get no answer and are carried out {@link #writeDelayS} later. */
        WRITES_DELAYED
    }

    /** Seconds by which transactions over a {@link Link#WRITES_DELAYED} link are carried out late, and how many were and succeeded. */
    double writeDelayS = 3;
    /** Requests and changes a second that it takes, with a burst of one second's worth; none where not set. */
    double rps = Double.POSITIVE_INFINITY;

    double writeRps = Double.POSITIVE_INFINITY;
    /** Whether what is refused counts towards the limits all the same; the protocol leaves that open. */
    boolean refusalsConsumeLimit = true;
    /** How many requests were refused by these limits. */
    int rateLimitedRequests;

    private double requestsLeft = Double.NaN;
    private double writesLeft;
    private double countedS;
    /** Seconds by which every answer takes longer. */
    double extraLatencyS;
    /** Sees each transaction just before it leaves its node. */
    java.util.function.BiConsumer<SimulatedCluster.ControllerProcess, Map<String, Object>> onTransaction;

    /** Requests of this path are refused, while all others are served. */
    String refusedPath;

    int delayedWritesApplied;
    int delayedWritesSucceeded;
    int writesWithLostResponse;

    private record Row(Object value, long stamp, long hold) {}

    private record Entry(long stamp, Map<String, Object> news) {}

    private final SimulatedCluster world;
    private final int opsMost;
    private final int valueMost;
    /** The limits from now on, lowered without notice: beyond them a change gets 400. */
    private int opsNow;

    private int valueNow;
    /** How many changes were refused for their size. */
    int oversizedWritesRefused;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Entry> log = new ArrayList<>();
    private final Map<Long, double[]> holds = new TreeMap<>();
    /** Held-back transactions of a cut node, to be carried out late. */
    final List<Runnable> heldTransactions = new ArrayList<>();

    private long epoch = 1;
    private long nextHold = 7;
    boolean outage;
    int largestValueBytes;

    FakeStateService(SimulatedCluster world, int opsMost, int valueKb) {
        this.world = world;
        this.opsMost = opsMost;
        this.valueMost = valueKb * 1024;
        this.opsNow = opsMost;
        this.valueNow = valueMost;
    }

    HttpTransport connectionFrom(SimulatedCluster.ControllerProcess from, java.util.function.Supplier<Link> link) {
        return (method, path, body, timeoutMs, then) -> {
            // Through bytes and back, so that a value cannot be shared by mistake.
            Map<String, Object> copy = body == null ? Map.of() : copy(body);
            if (path.equals("/multi") && onTransaction != null) {
                onTransaction.accept(from, copy);
            }
            Link l = link.get();
            if (l == Link.PARTITIONED) {
                if (path.equals("/multi")) {
                    heldTransactions.add(() -> multi(copy));
                }
                world.schedule(timeoutMs / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            } else if (path.equals("/multi") && l == Link.WRITES_DELAYED && !outage) {
                world.schedule(writeDelayS, () -> {
                    delayedWritesApplied++;
                    if ((int) multi(copy)[0] == 200) {
                        delayedWritesSucceeded++;
                    }
                });
                world.schedule(timeoutMs / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            } else if (path.equals("/multi") && l == Link.RESPONSES_LOST && !outage) {
                world.schedule(0.002, () -> {
                    if ((int) multi(copy)[0] == 200) {
                        writesWithLostResponse++;
                    }
                });
                world.schedule(timeoutMs / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            } else {
                world.schedule(0.002, () -> {
                    if (path.startsWith("/watch")) {
                        watch(path, world.nowS + timeoutMs / 1000.0, link, then);
                    } else if (l == Link.REFUSED || outage || path.equals(refusedPath)) {
                        answer(then, 503, Map.of());
                    } else if (overLimit(copy)) {
                        answer(then, 429, Map.of());
                    } else {
                        serve(method, path, copy, then);
                    }
                });
            }
        };
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> copy(Object o) {
        try {
            return (Map<String, Object>) Cbor.read(Cbor.write(o));
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean overLimit(Map<String, Object> body) {
        if (Double.isInfinite(rps)) {
            return false;
        }
        double gone = Double.isNaN(requestsLeft) ? 1 : world.nowS - countedS;
        countedS = world.nowS;
        int changes = Fields.getList(body, "writes").size();
        requestsLeft = Math.min(rps, (Double.isNaN(requestsLeft) ? 0 : requestsLeft) + gone * rps) - 1;
        writesLeft = Math.min(writeRps, writesLeft + gone * writeRps) - changes;
        if (requestsLeft >= 0 && writesLeft >= 0) {
            return false;
        }
        if (!refusalsConsumeLimit) {
            requestsLeft++;
            writesLeft += changes;
        }
        rateLimitedRequests++;
        return true;
    }

    private void answer(Consumer<PooledHttpClient.Response> then, int status, Map<String, Object> body) {
        world.schedule(
                0.002 + extraLatencyS, () -> then.accept(new PooledHttpClient.Response(status, copy(body), true)));
    }

    private void serve(
            HttpString method, String path, Map<String, Object> body, Consumer<PooledHttpClient.Response> then) {
        expire();
        String m = method.toString();
        if (path.startsWith("/kv?")) {
            String prefix = arg(path, "prefix");
            String after = arg(path, "after");
            List<Object> out = new ArrayList<>();
            boolean more = false;
            for (Map.Entry<String, Row> e :
                    rows.tailMap(after == null ? prefix : after, after == null).entrySet()) {
                if (!e.getKey().startsWith(prefix)) {
                    break;
                }
                if (out.size() == 5) { // small pages, so that paging is exercised
                    more = true;
                    break;
                }
                out.add(Map.of(
                        "k",
                        e.getKey(),
                        "v",
                        e.getValue().value(),
                        "stamp",
                        e.getValue().stamp()));
            }
            answer(then, 200, Map.of("rows", out, "hasNext", more, "epoch", epoch));
        } else if (path.startsWith("/kv/")) {
            Row r = rows.get(path.substring(4));
            if (r == null) {
                answer(then, 404, Map.of("epoch", epoch));
            } else {
                answer(then, 200, Map.of("k", path.substring(4), "v", r.value(), "stamp", r.stamp(), "hold", r.hold()));
            }
        } else if (path.equals("/multi")) {
            Object[] a = multi(body);
            answer(then, (int) a[0], Fields.asMap(a[1]));
        } else if (path.equals("/holds")) {
            double life = Fields.getLong(body, "lifeMs", 0) / 1000.0;
            holds.put(nextHold, new double[] {life, world.nowS + life});
            answer(then, 200, Map.of("hold", nextHold++));
        } else {
            long id = Long.parseLong(path.split("/")[2]);
            double[] h = holds.get(id);
            if (h == null) {
                answer(then, 404, Map.of());
            } else {
                h[1] = m.equals("DELETE") ? 0 : world.nowS + h[0];
                expire();
                answer(then, 200, Map.of());
            }
        }
    }

    private static String arg(String path, String name) {
        for (String s : path.substring(path.indexOf('?') + 1).split("&")) {
            if (s.startsWith(name + "=")) {
                return s.substring(name.length() + 1);
            }
        }
        return null;
    }

    private Object[] multi(Map<String, Object> body) {
        expire();
        List<Object> failed = new ArrayList<>();
        for (Object o : Fields.getList(body, "guards")) {
            Map<String, Object> g = Fields.asMap(o);
            Row r = rows.get(Fields.getString(g, "k"));
            if ((r == null ? 0 : r.stamp()) != Fields.getLong(g, "stamp", -1)) {
                failed.add(g.get("k"));
            }
        }
        List<Object> writes = Fields.getList(body, "writes");
        boolean small = true;
        if (writes.size() > opsMost) {
            world.recordViolation("transaction of " + writes.size() + " changes");
        }
        if (Json.length(body) > 64 * 1024) {
            world.recordViolation("transaction over 64 KiB");
        }
        for (Object o : writes) {
            Map<String, Object> w = Fields.asMap(o);
            int size = w.containsKey("put") ? Json.length(w.get("v")) : 0;
            largestValueBytes = Math.max(largestValueBytes, size);
            if (size > valueNow) {
                small = false;
            }
            if (size > valueMost) {
                world.recordViolation("value of " + w.get("put") + " has " + size + " bytes");
            }
            if (w.get("hold") instanceof Number h && !holds.containsKey(h.longValue())) {
                return new Object[] {400, Map.of("error", "no such lease")};
            }
        }
        if (!small || writes.size() > opsNow) {
            oversizedWritesRefused++;
            return new Object[] {400, Map.of("error", "too large")};
        }
        if (!failed.isEmpty()) {
            return new Object[] {409, Map.of("failed", failed, "epoch", epoch)};
        }
        epoch++;
        for (Object o : writes) {
            Map<String, Object> w = Fields.asMap(o);
            String put = Fields.getString(w, "put");
            if (put != null) {
                put(put, new Row(w.get("v"), epoch, Fields.getLong(w, "hold", 0)));
            } else {
                delete(Fields.getString(w, "delete"));
            }
        }
        return new Object[] {200, Map.of("epoch", epoch)};
    }

    private void put(String k, Row r) {
        rows.put(k, r);
        log.add(new Entry(epoch, Map.of("put", k, "v", r.value(), "stamp", epoch)));
    }

    private void delete(String k) {
        if (rows.remove(k) != null) {
            log.add(new Entry(epoch, Map.of("delete", k, "stamp", epoch)));
        }
    }

    /** After an outage every lease has its full time again. */
    void recover() {
        outage = false;
        for (double[] h : holds.values()) {
            h[1] = world.nowS + h[0];
        }
    }

    private void expire() {
        if (outage) {
            return;
        }
        for (long id : List.copyOf(holds.keySet())) {
            if (holds.get(id)[1] > world.nowS) {
                continue;
            }
            holds.remove(id);
            for (Map.Entry<String, Row> r : new ArrayList<>(rows.entrySet())) {
                if (r.getValue().hold() == id) {
                    epoch++;
                    delete(r.getKey());
                }
            }
        }
    }

    private void watch(
            String path,
            double giveUpS,
            java.util.function.Supplier<Link> link,
            Consumer<PooledHttpClient.Response> then) {
        String prefix = arg(path, "prefix");
        long after = Long.parseLong(arg(path, "after"));
        double until = world.nowS + Long.parseLong(arg(path, "blockMs")) / 1000.0;
        Runnable[] look = new Runnable[1];
        look[0] = () -> {
            if (world.nowS >= giveUpS) {
                then.accept(new PooledHttpClient.Response(0, Map.of(), true));
                return;
            }
            if (link.get() != Link.REFUSED && link.get() != Link.PARTITIONED && !outage) {
                expire();
                List<Object> news = new ArrayList<>();
                for (int i = log.size() - 1; i >= 0 && log.get(i).stamp() > after; i--) {
                    Map<String, Object> n = log.get(i).news();
                    if (String.valueOf(n.getOrDefault("put", n.get("delete"))).startsWith(prefix)) {
                        news.add(0, n);
                    }
                }
                if (!news.isEmpty() || world.nowS >= until) {
                    answer(then, 200, Map.of("epoch", epoch, "news", news));
                    return;
                }
            }
            world.schedule(0.05, look[0]);
        };
        look[0].run();
    }

    /** A transaction is carried out once more. */
    int replayTransaction(Map<String, Object> body) {
        return (int) multi(copy(body))[0];
    }

    void setSizeLimits(double valueKb, int ops) {
        valueNow = (int) (valueKb * 1024);
        opsNow = ops;
    }

    /** Keys that begin so. */
    List<String> keys(String prefix) {
        return rows.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    Object value(String key) {
        Row r = rows.get(key);
        return r == null ? null : r.value();
    }

    /** Writes past all rules, as something foreign to us would. */
    void writeUnchecked(String key, Map<String, Object> value) {
        epoch++;
        put(key, new Row(value, epoch, 0));
    }
}
