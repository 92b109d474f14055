import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.mountlug.wire.Json;

/** The state service of PROTOCOL in memory: keys, transactions, leases and watches, with its limits on sizes. */
final class StateService {
    private record Row(Object value, long stamp, long hold) {}

    private record Change(long stamp, String key, Map<String, Object> entry) {}

    private static final class Lease {
        double lifeS;
        double endsS;
    }

    private record Watch(String prefix, long after, CompletableFuture<World.Answer> answer) {}

    private final World world;
    private final int txnOps;
    private final double valueKb;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long epoch = 1;
    private long nextLease = 7;
    final String address;

    StateService(World world, int txnOps, double valueKb) throws IOException {
        this.world = world;
        this.txnOps = txnOps;
        this.valueKb = valueKb;
        address = world.serve(this::handle);
        world.timer.scheduleAtFixedRate(this::tick, 20, 20, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    private void tick() {
        synchronized (world) {
            expireLeases();
        }
    }

    private CompletableFuture<World.Answer> handle(World.Request request) {
        synchronized (world) {
            expireLeases();
            if (request.path().equals("/watch")) {
                return watch(request);
            }
            return CompletableFuture.completedFuture(answer(request));
        }
    }

    private World.Answer answer(World.Request request) {
        String path = request.path();
        if (path.equals("/kv")) {
            return list(request.query());
        }
        if (path.startsWith("/kv/")) {
            String key = path.substring(4);
            Row row = rows.get(key);
            return row == null
                    ? new World.Answer(404, World.map("epoch", epoch))
                    : new World.Answer(
                            200, World.map("k", key, "v", row.value, "stamp", row.stamp, "hold", row.hold));
        }
        if (path.equals("/multi")) {
            return transact(request.body());
        }
        if (path.equals("/holds")) {
            Lease lease = new Lease();
            lease.lifeS = ((Number) request.body().get("lifeMs")).doubleValue() / 1000;
            lease.endsS = world.nowS() + lease.lifeS;
            leases.put(nextLease, lease);
            return new World.Answer(200, World.map("hold", nextLease++));
        }
        if (path.startsWith("/holds/")) {
            long id = Long.parseLong(path.split("/")[2]);
            Lease lease = leases.get(id);
            if (lease == null) {
                return new World.Answer(404, Map.of());
            }
            lease.endsS = request.method().equals("DELETE") ? Double.NEGATIVE_INFINITY : world.nowS() + lease.lifeS;
            expireLeases();
            return new World.Answer(200, Map.of());
        }
        return new World.Answer(400, Map.of());
    }

    private World.Answer list(Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
        List<Object> found = new ArrayList<>();
        int bytes = 0;
        boolean hasNext = false;
        for (Map.Entry<String, Row> entry : rows.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            Map<String, Object> row = World.map(
                    "k", entry.getKey(), "v", entry.getValue().value, "stamp", entry.getValue().stamp);
            bytes += Json.length(row);
            if (found.size() == page || bytes > 512 * 1024) {
                hasNext = true;
                break;
            }
            found.add(row);
        }
        return new World.Answer(200, World.map("rows", found, "hasNext", hasNext, "epoch", epoch));
    }

    private World.Answer transact(Map<String, Object> body) {
        List<Object> writes = World.asList(body.get("writes"));
        boolean tooLarge = writes.size() > txnOps || Json.length(body) > 64 * 1024;
        for (Object element : writes) {
            Map<String, Object> write = World.asMap(element);
            if (write.get("hold") instanceof Number hold && !leases.containsKey(hold.longValue())) {
                return new World.Answer(400, World.map("error", "no such lease"));
            }
            tooLarge |= write.containsKey("put") && Json.length(write.get("v")) > valueKb * 1024;
        }
        if (tooLarge) {
            world.note("state service: a transaction is too large: 400");
            return new World.Answer(400, World.map("error", "too large"));
        }
        List<Object> failed = new ArrayList<>();
        for (Object element : World.asList(body.get("guards"))) {
            Map<String, Object> guard = World.asMap(element);
            Row row = rows.get((String) guard.get("k"));
            if ((row == null ? 0 : row.stamp) != ((Number) guard.get("stamp")).longValue()) {
                failed.add(guard.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            return new World.Answer(409, World.map("failed", failed, "epoch", epoch));
        }
        if (!writes.isEmpty()) {
            epoch++;
        }
        for (Object element : writes) {
            Map<String, Object> write = World.asMap(element);
            if (write.get("put") instanceof String key) {
                long hold = write.get("hold") instanceof Number number ? number.longValue() : 0;
                rows.put(key, new Row(write.get("v"), epoch, hold));
                log.add(new Change(epoch, key, World.map("put", key, "v", write.get("v"), "stamp", epoch)));
            } else {
                delete((String) write.get("delete"));
            }
        }
        answerWatches();
        return new World.Answer(200, World.map("epoch", epoch));
    }

    private void delete(String key) {
        if (rows.remove(key) != null) {
            log.add(new Change(epoch, key, World.map("delete", key, "stamp", epoch)));
        }
    }

    private void expireLeases() {
        boolean changed = false;
        for (Long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).endsS > world.nowS()) {
                continue;
            }
            leases.remove(id);
            for (Map.Entry<String, Row> entry : List.copyOf(rows.entrySet())) {
                if (entry.getValue().hold == id) {
                    epoch++;
                    delete(entry.getKey());
                    changed = true;
                }
            }
        }
        if (changed) {
            answerWatches();
        }
    }

    private CompletableFuture<World.Answer> watch(World.Request request) {
        Watch watch = new Watch(
                request.query().get("prefix"),
                Long.parseLong(request.query().get("after")),
                new CompletableFuture<>());
        List<Object> news = news(watch);
        double blockS = Math.min(60, Long.parseLong(request.query().getOrDefault("blockMs", "0")) / 1000.0);
        if (!news.isEmpty() || blockS == 0) {
            watch.answer.complete(new World.Answer(200, World.map("epoch", epoch, "news", news)));
            return watch.answer;
        }
        watches.add(watch);
        world.after(blockS, () -> {
            synchronized (world) {
                if (watches.remove(watch)) {
                    watch.answer.complete(new World.Answer(200, World.map("epoch", epoch, "news", news(watch))));
                }
            }
        });
        return watch.answer;
    }

    private List<Object> news(Watch watch) {
        List<Object> news = new ArrayList<>();
        for (Change change : log) {
            if (change.stamp > watch.after && change.key.startsWith(watch.prefix)) {
                news.add(change.entry);
            }
        }
        return news;
    }

    private void answerWatches() {
        for (Watch watch : List.copyOf(watches)) {
            List<Object> news = news(watch);
            if (!news.isEmpty()) {
                watches.remove(watch);
                watch.answer.completeAsync(() -> new World.Answer(200, World.map("epoch", epoch, "news", news)));
            }
        }
    }
}
