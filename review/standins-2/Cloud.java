import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The cloud of the protocol: machine types, rentals, returns, and a machine list that lags. */
final class Cloud {
    /** A machine type; {@code bootS} is the nominal boot time. */
    record Build(
            String name,
            double vcpus,
            double cards,
            double ramGb,
            double fetchGbPerS,
            double price,
            double marketPrice,
            double bootS,
            List<String> sites) {}

    private static final class Rig {
        Worker worker;
        double rentedS;
        double upS;
        double goneS = Double.POSITIVE_INFINITY;
    }

    private final Lab lab;
    private final List<Build> builds;
    private final Map<String, Rig> rigs = new LinkedHashMap<>();
    private final Map<String, List<Object>> hires = new LinkedHashMap<>();
    private final double rps;
    private double callsLeft;
    private double callsAtS;
    /** Seconds from a rental until the machine is up; by type's name. */
    private final Map<String, Double> realBootS = new LinkedHashMap<>();

    private final double lagS;
    volatile int rentals;
    final String address;

    Cloud(Lab lab, List<Build> builds, double rps, double lagS) throws IOException {
        this.lab = lab;
        this.builds = builds;
        this.rps = rps;
        this.callsLeft = 2 * rps;
        this.lagS = lagS;
        address = Http.address(Http.serve(this::handle));
    }

    void setBootS(String build, double seconds) {
        realBootS.put(build, seconds);
    }

    Build build(String name) {
        return builds.stream().filter(build -> build.name().equals(name)).findFirst().orElse(null);
    }

    /** Adds a machine that was up before the run began. */
    synchronized Worker addUp(String build, String site, boolean spot) {
        Rig rig = add(build(build), site, spot);
        rig.rentedS = -600;
        rig.upS = -570;
        rig.worker.start();
        return rig.worker;
    }

    private Rig add(Build build, String site, boolean spot) {
        Rig rig = new Rig();
        rig.worker = new Worker(lab, String.format(Locale.ROOT, "n-%06d", rigs.size() + 1), build, site, spot);
        rigs.put(rig.worker.name, rig);
        return rig;
    }

    synchronized List<Worker> workers() {
        List<Worker> up = new ArrayList<>();
        for (Rig rig : rigs.values()) {
            if (rig.worker.isUp()) {
                up.add(rig.worker);
            }
        }
        return up;
    }

    /** The cloud takes a spot machine back without a notice. */
    synchronized void take(Worker worker) {
        end(worker, "taken");
    }

    private void end(Worker worker, String why) {
        Rig rig = rigs.get(worker.name);
        rig.goneS = Record.now();
        rig.worker.end(why);
    }

    private synchronized Http.Answer handle(Http.Call call) {
        double now = Record.now();
        callsLeft = Math.min(2 * rps, callsLeft + (now - callsAtS) * rps);
        callsAtS = now;
        if (callsLeft < 1) {
            return new Http.Answer(429, Map.of());
        }
        callsLeft--;
        return switch (call.method() + " " + call.path()) {
            case "GET /flavors" -> new Http.Answer(200, Map.of("builds", flavors()));
            case "GET /hosts" -> list(call);
            case "POST /hosts" -> rent(call.body());
            case "POST /hosts/release" -> release(call.body());
            default -> new Http.Answer(400, Map.of());
        };
    }

    private List<Object> flavors() {
        List<Object> flavors = new ArrayList<>();
        for (Build build : builds) {
            Map<String, Object> flavor = new LinkedHashMap<>();
            flavor.put("name", build.name());
            flavor.put("vcpus", build.vcpus());
            flavor.put("cards", build.cards());
            flavor.put("ramGb", build.ramGb());
            flavor.put("cacheGb", 100.0);
            flavor.put("fetchGbPerS", build.fetchGbPerS());
            flavor.put("price", build.price());
            flavor.put("marketPrice", build.marketPrice());
            flavor.put("bootS", build.bootS());
            flavor.put("sites", build.sites());
            flavors.add(flavor);
        }
        return flavors;
    }

    private Http.Answer list(Http.Call call) {
        double atS = Record.now() - lagS;
        String after = call.query().getOrDefault("after", "");
        int page = Integer.parseInt(call.query().get("page"));
        List<Object> rows = new ArrayList<>();
        List<String> names = new ArrayList<>();
        boolean more = false;
        for (Rig rig : rigs.values()) {
            if (rig.worker.name.compareTo(after) <= 0 || rig.rentedS > atS || rig.goneS <= atS) {
                continue;
            }
            if (rows.size() >= page) {
                more = true;
                break;
            }
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("nameId", rig.worker.name);
            row.put("address", "127.0.0.1:1");
            row.put("build", rig.worker.build.name());
            row.put("site", rig.worker.site);
            row.put("loaners", rig.worker.spot);
            row.put("status", rig.upS > atS ? "booting" : "running");
            row.put("ageS", atS - rig.rentedS);
            rows.add(row);
            names.add(rig.worker.name);
        }
        lab.record.add("cloud: list of " + String.format(Locale.ROOT, "%.1f", lagS) + " s ago: " + names);
        return new Http.Answer(200, Map.of("rigs", rows, "hasNext", more));
    }

    private Http.Answer rent(Map<String, Object> body) {
        String hire = (String) body.get("hire");
        Build build = build((String) body.get("build"));
        String site = (String) body.get("site");
        boolean spot = Boolean.TRUE.equals(body.get("loaners"));
        if (hires.containsKey(hire)) {
            return new Http.Answer(200, Map.of("rigs", hires.get(hire)));
        }
        if (build == null || !build.sites().contains(site)) {
            return new Http.Answer(400, Map.of());
        }
        List<Object> names = new ArrayList<>();
        while (names.size() < Http.number(body, "howMany", 0)) {
            Rig rig = add(build, site, spot);
            rig.rentedS = Record.now();
            double bootS = realBootS.getOrDefault(build.name(), build.bootS());
            rig.upS = rig.rentedS + bootS;
            names.add(rig.worker.name);
            Thread thread = new Thread(() -> {
                Timing.sleep(bootS);
                synchronized (this) {
                    if (rig.goneS == Double.POSITIVE_INFINITY) {
                        rig.worker.start();
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
        rentals++;
        lab.record.add("cloud: rental of " + body + ": " + (names.isEmpty() ? "no capacity" : names));
        if (names.isEmpty()) {
            return new Http.Answer(503, Map.of("error", "no capacity"));
        }
        hires.put(hire, names);
        return new Http.Answer(200, Map.of("rigs", names));
    }

    private Http.Answer release(Map<String, Object> body) {
        lab.record.add("cloud: return of " + body.get("rigs"));
        for (Object name : (List<?>) body.get("rigs")) {
            Rig rig = rigs.get((String) name);
            if (rig != null && rig.goneS == Double.POSITIVE_INFINITY) {
                end(rig.worker, "returned");
            }
        }
        return new Http.Answer(200, Map.of());
    }
}
