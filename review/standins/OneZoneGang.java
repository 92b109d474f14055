import java.util.List;

/** A gang bound to one zone loses a machine; afterwards there is room for one of its tasks in each of two zones. */
final class OneZoneGang {
    private static final double MAX_WAIT_S = 90;

    private OneZoneGang() {}

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
                OneZoneGang::run);
    }

    private static Job longTask(Platform platform, String zone) {
        Job job = new Job(platform.nextJobId(), "array", "replay-crunch", "siege", 1, 1, 0, 4);
        job.zone = zone;
        job.spotAllowed = true;
        job.runS = 200;
        return job;
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
        platform.cloud.addMachine("meerkat", "joburg", true, 0);
        platform.cloud.addMachine("meerkat", "capetown", false, 0);
        platform.startControllers();
        Verdict.require(platform.waitUntilHealthy(20), "the controllers are not healthy");

        Job inJoburg = longTask(platform, "joburg");
        Job inCapetown = longTask(platform, "capetown");
        Verdict.require(platform.submit(inJoburg) && platform.submit(inCapetown), "a long task was not accepted");
        Verdict.require(
                platform.waitUntilRunning(inJoburg, 20) && platform.waitUntilRunning(inCapetown, 20),
                "a long task does not run");
        Worker busyInJoburg = platform.tasksOf(inJoburg).values().iterator().next();

        Job gang = new Job(platform.nextJobId(), "group", "opponent-train", "warband", 2, 3, 0, 12);
        gang.oneZone = true;
        gang.spotAllowed = true;
        gang.runS = 40;
        Verdict.require(platform.submit(gang), "the gang was not accepted");
        Verdict.require(platform.waitUntilRunning(gang, 20), "the gang does not run");
        World.sleep(2);

        double overS = world.nowS();
        int startsBefore = platform.starts.size();
        int rentalsBefore = platform.cloud.rentalTimesS.size();
        if (trouble) {
            synchronized (world) {
                Worker taken = platform.tasksOf(gang).values().stream()
                        .filter(worker -> worker != busyInJoburg)
                        .findFirst()
                        .orElse(null);
                Verdict.require(taken != null && taken.spot, "the gang is not where it was expected");
                world.note("the cloud takes back one of the two spot machines in joburg");
                platform.cloud.take(taken);
            }
        }
        platform.pollUntil(overS + MAX_WAIT_S + 2, List.of(gang));
        synchronized (world) {
            long startsAfter = platform.starts.stream().skip(startsBefore).filter(s -> s.job() == gang).count();
            world.note(
                    "since then: %d starts of the gang, %d rentals asked for",
                    startsAfter, platform.cloud.rentalTimesS.size() - rentalsBefore);
            platform.cloud.machines.values().forEach(worker -> world.note(
                    "machine %s in zone %s: %.0f of %.0f CPUs free",
                    worker.name, worker.zone, worker.freeCpus(), worker.type.cpus()));
            Verdict.require(platform.allControllersRun(), "a controller has ended");
            return !Double.isNaN(gang.doneS) || startsAfter > 0
                    ? null
                    : "gang " + gang.id + " was accepted, and in the 90 s since it lost a machine no task of it started";
        }
    }
}
