import java.util.List;

/** A gang whose tasks have to be in two zones loses a machine; the cloud has others in both zones. */
final class GangOverTwoZones {
    private static final double MAX_WAIT_S = 90;

    private GangOverTwoZones() {}

    public static void main(String[] arguments) throws Exception {
        List<Platform.Team> teams =
                List.of(new Platform.Team("warband", 168, 856, 16, 88), new Platform.Team("siege", 136, 512, 16, 40));
        Verdict.run(
                arguments,
                folder -> {
                    Platform platform = new Platform(folder, 3, List.of("joburg", "capetown"), teams);
                    platform.reportS = 3;
                    platform.leaseS = 22;
                    platform.cancelS = 47;
                    return platform;
                },
                GangOverTwoZones::run);
    }

    private static String run(Platform platform, boolean trouble) throws Exception {
        World world = platform.world;
        platform.startServices();
        platform.cloud.addType(
                new Cloud.Type("meerkat", 4, 0, 32, 1.0, 0.35, 0.1, 5, List.of("joburg", "capetown")));
        for (String zone : List.of("joburg", "capetown")) {
            platform.cloud.setCapacity("meerkat", zone, false, 10);
            platform.cloud.setCapacity("meerkat", zone, true, 10);
        }
        platform.cloud.addMachine("meerkat", "joburg", true, 0);
        platform.cloud.addMachine("meerkat", "capetown", true, 0);
        platform.cloud.addMachine("meerkat", "capetown", true, 0);
        platform.startControllers();
        Verdict.require(platform.waitUntilHealthy(20), "the controllers are not healthy");

        Job other = new Job(platform.nextJobId(), "array", "balance-sim", "siege", 2, 2, 0, 15);
        other.zone = "capetown";
        other.spotAllowed = true;
        other.runS = 200;
        Verdict.require(platform.submit(other), "the array was not accepted");
        Verdict.require(platform.waitUntilRunning(other, 20), "the array does not run");

        Job gang = new Job(platform.nextJobId(), "group", "opponent-train", "warband", 2, 3, 0, 12);
        gang.apart = true;
        gang.spotAllowed = true;
        gang.runS = 40;
        Verdict.require(platform.submit(gang), "the gang was not accepted");
        Verdict.require(platform.waitUntilRunning(gang, 20), "the gang does not run");
        World.sleep(2);

        double overS = world.nowS();
        int startsBefore = platform.starts.size();
        int rentedBefore = platform.cloud.rentedMachines;
        if (trouble) {
            synchronized (world) {
                Worker taken = platform.tasksOf(gang).values().stream()
                        .filter(worker -> worker.zone.equals("capetown"))
                        .findFirst()
                        .orElse(null);
                Verdict.require(taken != null && taken.spot, "the gang is not where it was expected");
                world.note("the cloud takes back one of the two spot machines in capetown");
                platform.cloud.take(taken);
            }
        }
        platform.pollUntil(overS + MAX_WAIT_S + 1, List.of(gang));
        synchronized (world) {
            long startsAfter = platform.starts.stream()
                    .skip(startsBefore)
                    .filter(start -> start.job() == gang)
                    .count();
            int rented = platform.cloud.rentedMachines - rentedBefore;
            world.note("since then: %d starts of tasks of the gang, %d machines rented", startsAfter, rented);
            platform.cloud.machines.values().forEach(worker -> world.note(
                    "machine %s in zone %s: %.0f of %.0f CPUs free",
                    worker.name, worker.zone, worker.freeCpus(), worker.type.cpus()));
            Verdict.require(platform.allControllersRun(), "a controller has ended");
            return !Double.isNaN(gang.doneS) || startsAfter > 0
                    ? null
                    : "no task of gang " + gang.id + " started in the 90 s since it lost a machine; machines rented: "
                            + rented;
        }
    }
}
