import java.util.ArrayList;
import java.util.List;

/** A service bound to one zone loses a machine; a job in another zone is stopped for it again and again. */
final class PreemptedInVain {
    private static final double MAX_WAIT_S = 90;

    private PreemptedInVain() {}

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
                PreemptedInVain::run);
    }

    private static String run(Platform platform, boolean trouble) throws Exception {
        World world = platform.world;
        platform.startServices();
        platform.cloud.addType(
                new Cloud.Type("meerkat", 4, 0, 32, 1.0, 0.35, 0.1, 5, List.of("capetown", "joburg")));
        for (String zone : List.of("joburg", "capetown")) {
            platform.cloud.setCapacity("meerkat", zone, false, 10);
            platform.cloud.setCapacity("meerkat", zone, true, 10);
        }
        platform.cloud.addMachine("meerkat", "joburg", true, 0);
        platform.cloud.addMachine("meerkat", "joburg", true, 0);
        platform.cloud.addMachine("meerkat", "capetown", false, 0);
        platform.startControllers();
        Verdict.require(platform.waitUntilHealthy(20), "the controllers are not healthy");
        World.sleep(3);

        Job service = new Job(platform.nextJobId(), "daemon", "matchmaker", "warband", 2, 3, 0, 12.8);
        service.urgency = "prod";
        service.oneZone = true;
        service.spotAllowed = true;
        Verdict.require(platform.submit(service), "the service was not accepted");
        Verdict.require(platform.waitUntilRunning(service, 20), "the service does not run");
        Worker lost = platform.tasksOf(service).values().iterator().next();
        Verdict.require(lost.spot && lost.zone.equals("joburg"), "the service is not where it was expected");
        if (trouble) {
            synchronized (world) {
                world.note("the cloud takes back one of the two spot machines in joburg");
                platform.cloud.take(lost);
            }
        }
        Job array = new Job(platform.nextJobId(), "array", "balance-sim", "siege", 2, 2, 0, 15);
        array.urgency = "high";
        array.spotAllowed = true;
        array.zone = "capetown";
        array.runS = 25;
        Verdict.require(platform.submit(array), "the array was not accepted");
        double overS = world.nowS();
        int startsBefore = platform.starts.size();
        platform.pollUntil(overS + MAX_WAIT_S, List.of(array));
        List<String> starts = new ArrayList<>();
        int replicaStarts = 0;
        synchronized (world) {
            for (Platform.Started start : platform.starts.subList(startsBefore, platform.starts.size())) {
                if (start.job() == array) {
                    starts.add(start.task() + " at " + Math.round(start.atS()) + " s");
                } else {
                    replicaStarts++;
                }
            }
            platform.cloud.machines.values().forEach(worker -> world.note(
                    "machine %s in zone %s: %.0f of %.0f CPUs free",
                    worker.name, worker.zone, worker.freeCpus(), worker.type.cpus()));
        }
        world.note("since then tasks of %s started: %s", array.id, starts);
        world.note(
                "since then replicas started: %d; %d of %d run",
                replicaStarts, platform.tasksOf(service).size(), service.tasks);
        Verdict.require(platform.allControllersRun(), "a controller has ended");
        // Stops that made room for a replica would be allowed.
        return Double.isNaN(array.doneS) && starts.size() > array.tasks && replicaStarts == 0
                ? "the tasks of " + array.id + ", which take 25 s, were started " + starts.size()
                        + " times in 90 s and stopped each time, and no replica took their place"
                : null;
    }
}
