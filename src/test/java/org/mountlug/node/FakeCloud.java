package org.mountlug.node;

import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;

/**
 * An in-memory cloud with one machine type, idempotent rentals, returns, machines that it takes back, and a paged machine
 * list that may lag.
 */
final class FakeCloud {
    /** Seconds from a request to its execution. */
    private static final double REQUEST_DELAY_S = 0.1;
    /** Seconds after a crash from which the machine list shows the machine as failed. */
    private static final double FAILURE_LISTED_AFTER_S = 30;

    /** Step by which the share of the lag's spread changes from page to page. */
    private static final double LAG_SPREAD_STEP = 0.618;

    /** Machines on a page of the machine list. */
    private static final int PAGE_SIZE = 500;

    private final SimulatedCluster cluster;
    /** Names of the machines of each rental, by the rental's name; a repeated rental returns the same machines. */
    private final Map<String, List<Object>> rentalsByName = new HashMap<>();
    /** Most machines in all zones together. */
    int capacity = 40;
    /** Most machines of a zone; no limit for a zone that is not a key. */
    final Map<String, Integer> zoneCapacity = new HashMap<>();
    /** Zones that the machine type lists; rentals in other zones are not refused. */
    List<Object> zones = List.of("a");
    /** Zones in which every rental is refused. */
    final Set<String> zonesRefusingRentals = new HashSet<>();
    /** Whether every request gets status 503. */
    boolean down;
    /** Whether the responses to requests for the machine list have no body. */
    boolean listsWithoutBody;
    /** Seconds from the execution of a request to its response. */
    double responseDelayS;
    /** Seconds by which the machine list lags: so long it lacks a new machine, and still shows one that is gone. */
    double listLagS;
    /** Most seconds by which a page of the list lags beyond {@link #listLagS}; it varies, so a list may be older than the last. */
    double listLagSpreadS;
    /** Share of {@link #listLagSpreadS} that applies to the next page. */
    private double lagSpreadShare;
    /** The machines that were returned or taken back, in the order of their names. */
    private final Map<String, DepartedMachine> departedMachines = new TreeMap<>();

    FakeCloud(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    private record Reply(int status, Map<String, Object> body) {}

    private record DepartedMachine(SimulatedWorker worker, double atS) {}

    void call(
            HttpString method,
            String path,
            Map<String, Object> body,
            int timeoutMs,
            Consumer<PooledHttpClient.Response> then) {
        cluster.schedule(REQUEST_DELAY_S, () -> {
            Reply reply = handleRequest(path, body);
            PooledHttpClient.Response response = new PooledHttpClient.Response(reply.status, reply.body, true);
            if (responseDelayS > 0) {
                cluster.schedule(responseDelayS, () -> then.accept(response));
            } else {
                then.accept(response);
            }
        });
    }

    private Reply handleRequest(String path, Map<String, Object> body) {
        if (down) {
            return new Reply(503, Map.of("error", "trouble"));
        }
        switch (path) {
            case "/flavors":
                Map<String, Object> type = new LinkedHashMap<>(SimulatedCluster.MACHINE_TYPE);
                type.put("sites", zones);
                return new Reply(200, Map.of("builds", List.of(type)));
            case "/hosts/release":
                returnMachines(body);
                return new Reply(200, Map.of());
            case "/hosts":
                List<Object> names =
                        rentalsByName.computeIfAbsent(Fields.getString(body, "hire"), rental -> rent(body));
                return names.isEmpty()
                        ? new Reply(503, Map.of("error", "no capacity"))
                        : new Reply(200, Map.of("rigs", names));
            default:
                return new Reply(200, listsWithoutBody ? Map.of() : page(path));
        }
    }

    private void returnMachines(Map<String, Object> body) {
        for (Object name : Fields.getList(body, "rigs")) {
            SimulatedWorker worker = cluster.workers.get((String) name);
            if (worker != null) {
                take(worker);
            }
        }
    }

    /** Takes a machine back without a notice, with all its tasks. */
    void take(SimulatedWorker worker) {
        cluster.workers.remove(worker.name);
        worker.terminate();
        departedMachines.put(worker.name, new DepartedMachine(worker, cluster.nowS));
    }

    private List<Object> rent(Map<String, Object> body) {
        String zone = Fields.getString(body, "site", "a");
        List<Object> names = new ArrayList<>();
        if (zonesRefusingRentals.contains(zone)) {
            return names;
        }
        long machinesInZone = cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .count();
        long available = Math.min(
                capacity - cluster.workers.size(), zoneCapacity.getOrDefault(zone, Integer.MAX_VALUE) - machinesInZone);
        for (long left = Math.min(available, Fields.getLong(body, "howMany", 1)); left > 0; left--) {
            names.add(cluster.addMachine(zone).name);
        }
        return names;
    }

    private Map<String, Object> page(String path) {
        String after = path.contains("after=") ? path.replaceAll(".*after=([^&]*).*", "$1") : "";
        lagSpreadShare = (lagSpreadShare + LAG_SPREAD_STEP) % 1;
        double listedAtS = cluster.nowS - listLagS - listLagSpreadS * lagSpreadShare;
        List<Object> machines = new ArrayList<>();
        for (SimulatedWorker worker :
                machinesAt(listedAtS).tailMap(after, false).values()) {
            if (machines.size() == PAGE_SIZE) {
                return Map.of("rigs", machines, "hasNext", true);
            }
            machines.add(machineEntry(worker, listedAtS));
        }
        return Map.of("rigs", machines, "hasNext", false);
    }

    /** Returns the machines that there were at this time, by name. */
    private TreeMap<String, SimulatedWorker> machinesAt(double timeS) {
        TreeMap<String, SimulatedWorker> machines = new TreeMap<>(cluster.workers);
        departedMachines.forEach((name, departed) -> {
            if (departed.atS > timeS) {
                machines.put(name, departed.worker);
            }
        });
        machines.values().removeIf(worker -> worker.rentedAtS > timeS);
        return machines;
    }

    private Map<String, Object> machineEntry(SimulatedWorker worker, double listedAtS) {
        double ageS = listedAtS - worker.rentedAtS;
        boolean up = worker.willBoot && ageS >= worker.bootDurationS;
        String status = up ? "running" : "booting";
        if (cluster.nowS - worker.crashedAtS > FAILURE_LISTED_AFTER_S) {
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
