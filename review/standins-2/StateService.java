import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol: keys with revisions, transactions, leases, watches, limits. */
final class StateService {
    private record Entry(Map<String, Object> value, long stamp, long hold) {}

    private record Change(long stamp, String key, Map<String, Object> value) {}

    private static final class Hold {
        double endsS;
        double lifeS;
    }

    /** Requests or writes a second, with a burst of one second's worth. */
    private static final class Limit {
        final double perS;
        double left;
        double atS;

        Limit(double perS) {
            this.perS = perS;
            this.left = perS;
        }

        boolean take(int count) {
            double now = Record.now();
            left = Math.min(perS, left + (now - atS) * perS);
            atS = now;
            if (left < count) {
                return false;
            }
            left -= count;
            return true;
        }
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Limit requests;
    private final Limit writes;
    private final int maxWrites;
    private long epoch = 1;
    private long lastHold;
    final String address;

    StateService(double rps, double writeRps, int txnOps) throws IOException {
        requests = new Limit(rps);
        writes = new Limit(writeRps);
        maxWrites = txnOps;
        HttpServer server = Http.serve(this::handle);
        address = Http.address(server);
        Thread thread = new Thread(this::endHolds);
        thread.setDaemon(true);
        thread.start();
    }

    private void endHolds() {
        while (true) {
            synchronized (this) {
                double now = Record.now();
                for (Long id : new ArrayList<>(holds.keySet())) {
                    if (now > holds.get(id).endsS) {
                        endHold(id);
                    }
                }
            }
            Timing.sleep(0.02);
        }
    }

    private synchronized void endHold(long id) {
        holds.remove(id);
        for (String key : new ArrayList<>(entries.keySet())) {
            if (entries.get(key).hold() == id) {
                epoch++;
                entries.remove(key);
                addChange(new Change(epoch, key, null));
            }
        }
        notifyAll();
    }

    private void addChange(Change change) {
        changes.addLast(change);
        if (changes.size() > 10_000) {
            changes.pollFirst();
        }
    }

    private static Http.Answer answer(int status, Object... namesAndValues) {
        Map<String, Object> body = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            body.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return new Http.Answer(status, body);
    }

    private Http.Answer handle(Http.Call call) throws Exception {
        synchronized (this) {
            if (!requests.take(1)) {
                return answer(429);
            }
        }
        String path = call.path();
        if (path.equals("/watch")) {
            return watch(call);
        }
        synchronized (this) {
            if (path.equals("/kv")) {
                return list(call);
            }
            if (path.startsWith("/kv/")) {
                Entry entry = entries.get(path.substring(4));
                if (entry == null) {
                    return answer(404, "epoch", epoch);
                }
                Map<String, Object> row = row(path.substring(4), entry);
                if (entry.hold() != 0) {
                    row.put("hold", entry.hold());
                }
                return new Http.Answer(200, row);
            }
            if (path.equals("/multi")) {
                return multi(call.body());
            }
            if (path.equals("/holds")) {
                Hold hold = new Hold();
                hold.lifeS = Http.number(call.body(), "lifeMs", 0) / 1000.0;
                hold.endsS = Record.now() + hold.lifeS;
                holds.put(++lastHold, hold);
                return answer(200, "hold", lastHold);
            }
            if (path.startsWith("/holds/")) {
                String[] parts = path.split("/");
                long id = Long.parseLong(parts[2]);
                Hold hold = holds.get(id);
                if (hold == null) {
                    return answer(404);
                }
                if (parts.length > 3) {
                    hold.endsS = Record.now() + hold.lifeS;
                } else {
                    endHold(id);
                }
                return answer(200);
            }
            return answer(400);
        }
    }

    private static Map<String, Object> row(String key, Entry entry) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("k", key);
        row.put("v", entry.value());
        row.put("stamp", entry.stamp());
        return row;
    }

    private Http.Answer list(Http.Call call) {
        String prefix = call.query().get("prefix");
        String after = call.query().get("after");
        int page = Integer.parseInt(call.query().getOrDefault("page", "1000"));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (after != null && entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (rows.size() >= page) {
                more = true;
                break;
            }
            rows.add(row(entry.getKey(), entry.getValue()));
        }
        return answer(200, "rows", rows, "hasNext", more, "epoch", epoch);
    }

    private Http.Answer multi(Map<String, Object> body) {
        List<Map<String, Object>> guards = Http.maps(body.get("guards"));
        List<Map<String, Object>> puts = Http.maps(body.get("writes"));
        if (puts.size() > maxWrites || guards.size() > 4 * maxWrites) {
            return answer(400, "error", "too large");
        }
        for (Map<String, Object> put : puts) {
            if (put.get("hold") != null && !holds.containsKey(Http.number(put, "hold", 0))) {
                return answer(400, "error", "no such lease");
            }
        }
        if (!puts.isEmpty() && !writes.take(puts.size())) {
            return answer(429);
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = entries.get((String) guard.get("k"));
            if (Http.number(guard, "stamp", 0) != (entry == null ? 0 : entry.stamp())) {
                failed.add(guard.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            return answer(409, "failed", failed, "epoch", epoch);
        }
        if (!puts.isEmpty()) {
            epoch++;
        }
        for (Map<String, Object> put : puts) {
            if (put.get("put") instanceof String key) {
                @SuppressWarnings("unchecked")
                Map<String, Object> value = (Map<String, Object>) put.get("v");
                entries.put(key, new Entry(value, epoch, Http.number(put, "hold", 0)));
                addChange(new Change(epoch, key, value));
            } else {
                String key = (String) put.get("delete");
                if (entries.remove(key) != null) {
                    addChange(new Change(epoch, key, null));
                }
            }
        }
        notifyAll();
        return answer(200, "epoch", epoch);
    }

    private synchronized Http.Answer watch(Http.Call call) throws InterruptedException {
        String prefix = call.query().get("prefix");
        long after = Long.parseLong(call.query().get("after"));
        double endS = Record.now() + Long.parseLong(call.query().getOrDefault("blockMs", "0")) / 1000.0;
        while (true) {
            if (changes.size() >= 10_000 && changes.peekFirst().stamp() > after + 1) {
                return answer(410);
            }
            List<Object> news = new ArrayList<>();
            for (Change change : changes) {
                if (change.stamp() > after && change.key().startsWith(prefix)) {
                    Map<String, Object> row = new LinkedHashMap<>();
                    row.put(change.value() == null ? "delete" : "put", change.key());
                    if (change.value() != null) {
                        row.put("v", change.value());
                    }
                    row.put("stamp", change.stamp());
                    news.add(row);
                }
            }
            double leftS = endS - Record.now();
            if (!news.isEmpty() || leftS <= 0) {
                return answer(200, "epoch", epoch, "news", news);
            }
            wait(Math.max(1, (long) (leftS * 1000)));
        }
    }
}
