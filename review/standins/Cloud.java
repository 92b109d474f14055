import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** The cloud of PROTOCOL: machine types, rentals under a name, returns, and a machine list that lags. */
final class Cloud {
    /** A machine type in certain zones. */
    record Type(
            String name,
            double cpus,
            double gpus,
            double ramGb,
            double fetchGbPerS,
            double price,
            double spotPrice,
            double bootS,
            List<String> zones) {}

    /** A state of the machine list. */
    private record Listed(double atS, Map<String, String> statusByName) {}

    private final World world;
    private final double listLagS;
    private final Map<String, Type> types = new LinkedHashMap<>();
    private final Map<String, Integer> capacityByPool = new HashMap<>();
    private final Map<String, List<Object>> rentals = new HashMap<>();
    private final List<Listed> history = new ArrayList<>();
    final TreeMap<String, Worker> machines = new TreeMap<>();
    private final Map<String, Worker> everRented = new HashMap<>();
    private int lastNumber;
    /** Requests for machines, by the time at which they came. */
    final List<Double> rentalTimesS = new ArrayList<>();
    int rentedMachines;
    final Platform platform;
    final String address;

    Cloud(Platform platform, double listLagS) throws IOException {
        this.platform = platform;
        this.world = platform.world;
        this.listLagS = listLagS;
        address = world.serve(request -> {
            synchronized (world) {
                return CompletableFuture.completedFuture(answer(request));
            }
        });
    }

    void addType(Type type) {
        types.put(type.name(), type);
    }

    Type type(String name) {
        return types.get(name);
    }

    /** Sets how many machines of a type, zone and kind the cloud has. */
    void setCapacity(String type, String zone, boolean spot, int count) {
        capacityByPool.put(type + " " + zone + " " + spot, count);
    }

    /** Adds a machine; it is up after {@code bootS} seconds. */
    Worker addMachine(String type, String zone, boolean spot, double bootS) {
        String name = String.format("n-%06d", ++lastNumber);
        Worker worker = new Worker(platform, name, types.get(type), zone, spot, world.nowS());
        machines.put(name, worker);
        everRented.put(name, worker);
        remember();
        world.after(bootS, () -> {
            synchronized (world) {
                if (machines.containsKey(name)) {
                    worker.boot();
                    remember();
                }
            }
        });
        return worker;
    }

    /** Takes a machine back without notice: it is gone, and so is everything on it. */
    void take(Worker worker) {
        machines.remove(worker.name);
        worker.terminate("taken by the cloud");
        remember();
    }

    private void remember() {
        Map<String, String> statusByName = new TreeMap<>();
        machines.forEach((name, worker) -> statusByName.put(name, worker.isUp() ? "running" : "booting"));
        history.add(new Listed(world.nowS(), statusByName));
    }

    private World.Answer answer(World.Request request) {
        switch (request.path()) {
            case "/flavors":
                List<Object> builds = new ArrayList<>();
                for (Type type : types.values()) {
                    builds.add(World.map(
                            "name", type.name, "vcpus", type.cpus, "cards", type.gpus, "ramGb", type.ramGb,
                            "cacheGb", 200.0, "fetchGbPerS", type.fetchGbPerS, "price", type.price, "marketPrice",
                            type.spotPrice, "bootS", type.bootS, "sites", type.zones));
                }
                return new World.Answer(200, World.map("builds", builds));
            case "/hosts/release":
                for (Object name : World.asList(request.body().get("rigs"))) {
                    Worker worker = machines.remove((String) name);
                    if (worker != null) {
                        worker.terminate("returned");
                    }
                }
                remember();
                world.note("cloud: returned %s", request.body().get("rigs"));
                return new World.Answer(200, Map.of());
            case "/hosts":
                return request.method().equals("GET") ? list(request.query()) : rent(request.body());
            default:
                return new World.Answer(400, Map.of());
        }
    }

    private World.Answer rent(Map<String, Object> body) {
        String name = (String) body.get("hire");
        List<Object> names = rentals.get(name);
        if (names == null) {
            rentalTimesS.add(world.nowS());
            String type = (String) body.get("build");
            String zone = (String) body.get("site");
            boolean spot = Boolean.TRUE.equals(body.get("loaners"));
            long used = machines.values().stream()
                    .filter(worker -> worker.type.name().equals(type)
                            && worker.zone.equals(zone)
                            && worker.spot == spot)
                    .count();
            long left = capacityByPool.getOrDefault(type + " " + zone + " " + spot, 0) - used;
            names = new ArrayList<>();
            for (long count = Math.min(left, ((Number) body.get("howMany")).longValue()); count > 0; count--) {
                names.add(addMachine(type, zone, spot, types.get(type).bootS).name);
                rentedMachines++;
            }
            world.note(
                    "cloud: rental %s of %s %s in zone %s%s: %s",
                    name, body.get("howMany"), type, zone, spot ? ", spot" : "", names.isEmpty() ? "no capacity" : names);
            if (!names.isEmpty()) {
                rentals.put(name, names);
            }
        }
        return names.isEmpty()
                ? new World.Answer(503, World.map("error", "no capacity"))
                : new World.Answer(200, World.map("rigs", names));
    }

    private World.Answer list(Map<String, String> query) {
        double shownS = world.nowS() - listLagS;
        Map<String, String> shown = Map.of();
        for (Listed listed : history) {
            // What was there at the start has been listed for long.
            if (listed.atS <= shownS || listed.atS < platform.startedControllersS) {
                shown = listed.statusByName;
            }
        }
        List<Object> rigs = new ArrayList<>();
        for (Map.Entry<String, String> entry : shown.entrySet()) {
            if (entry.getKey().compareTo(query.getOrDefault("after", "")) <= 0) {
                continue;
            }
            Worker worker = everRented.get(entry.getKey());
            rigs.add(World.map(
                    "nameId", worker.name, "address", worker.address, "build", worker.type.name(), "site", worker.zone,
                    "loaners", worker.spot, "status", entry.getValue(), "ageS",
                    Math.max(0, shownS - worker.rentedS)));
        }
        return new World.Answer(200, World.map("rigs", rigs, "hasNext", false));
    }
}
