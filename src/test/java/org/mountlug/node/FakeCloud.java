package org.mountlug.node;

import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;

/** The cloud of a simulated cluster: one machine type, rentals by name, returns, and a list in pages that may lag. */
final class FakeCloud {
    private static final double ANSWER_S = 0.1;
    /** Seconds after its end at which the list shows a machine as failed. */
    private static final double FAILED_AFTER_S = 30;

    private static final int PAGE = 500;

    private final SimulatedCluster cluster;
    private final Map<String, List<Object>> hires = new HashMap<>();
    /** How many machines there are at the most. */
    int capacity = 40;
    /** How many machines a zone has at the most, where that is less. */
    final Map<String, Integer> zoneCapacity = new HashMap<>();
    /** Zones in which machines are rented. */
    List<Object> zones = List.of("a");
    /** Zones in which every rental is refused for now. */
    final Set<String> zonesRefusingRentals = new HashSet<>();
    /** Whether the whole interface is down. */
    boolean down;
    /** Seconds by which the list lags behind rentals. */
    double listLagS;

    FakeCloud(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    private record Reply(int status, Map<String, Object> body) {}

    void call(
            HttpString method,
            String path,
            Map<String, Object> body,
            int timeoutMs,
            Consumer<PooledHttpClient.Response> then) {
        cluster.schedule(ANSWER_S, () -> {
            Reply reply = reply(path, body);
            then.accept(new PooledHttpClient.Response(reply.status, reply.body, true));
        });
    }

    private Reply reply(String path, Map<String, Object> body) {
        if (down) {
            return new Reply(503, Map.of("error", "trouble"));
        }
        switch (path) {
            case "/flavors":
                Map<String, Object> type = new LinkedHashMap<>(SimulatedCluster.MACHINE_TYPE);
                type.put("sites", zones);
                return new Reply(200, Map.of("builds", List.of(type)));
            case "/hosts/release":
                release(body);
                return new Reply(200, Map.of());
            case "/hosts":
                List<Object> names = hires.computeIfAbsent(Fields.getString(body, "hire"), hire -> rent(body));
                return names.isEmpty()
                        ? new Reply(503, Map.of("error", "no capacity"))
                        : new Reply(200, Map.of("rigs", names));
            default:
                return new Reply(200, page(path));
        }
    }

    private void release(Map<String, Object> body) {
        for (Object name : Fields.getList(body, "rigs")) {
            SimulatedCluster.Worker worker = cluster.workers.remove((String) name);
            if (worker != null) {
                worker.terminate();
            }
        }
    }

    private List<Object> rent(Map<String, Object> body) {
        String zone = Fields.getString(body, "site", "a");
        List<Object> names = new ArrayList<>();
        if (zonesRefusingRentals.contains(zone)) {
            return names;
        }
        long inZone = cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .count();
        long room = Math.min(
                capacity - cluster.workers.size(), zoneCapacity.getOrDefault(zone, Integer.MAX_VALUE) - inZone);
        for (long left = Math.min(room, Fields.getLong(body, "howMany", 1)); left > 0; left--) {
            names.add(cluster.addMachine(zone).name);
        }
        return names;
    }

    private Map<String, Object> page(String path) {
        String after = path.contains("after=") ? path.replaceAll(".*after=([^&]*).*", "$1") : "";
        List<Object> shown = new ArrayList<>();
        for (SimulatedCluster.Worker worker : cluster.workers.values()) {
            if (cluster.nowS - worker.rentedAtS < listLagS || worker.name.compareTo(after) <= 0) {
                continue;
            }
            if (shown.size() == PAGE) {
                return Map.of("rigs", shown, "hasNext", true);
            }
            shown.add(listed(worker));
        }
        return Map.of("rigs", shown, "hasNext", false);
    }

    private Map<String, Object> listed(SimulatedCluster.Worker worker) {
        double ageS = cluster.nowS - worker.rentedAtS;
        boolean up = worker.willBoot && ageS >= worker.bootDurationS;
        String status = up ? "running" : "booting";
        if (cluster.nowS - worker.crashedAtS > FAILED_AFTER_S) {
            status = "failed";
        }
        return Fields.orderedMap(
                "nameId",
                worker.name,
                "address",
                worker.address,
                "build",
                "small",
                "site",
                worker.zone,
                "loaners",
                false,
                "status",
                status,
                "ageS",
                ageS);
    }
}
