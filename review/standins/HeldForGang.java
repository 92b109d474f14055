import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A gang of a team at its limit waits; a job of another team needs the room that a machine has. */
final class HeldForGang {
    private static final double MAX_WAIT_S = 90;

    private HeldForGang() {}

    public static void main(String[] arguments) throws Exception {
        List<Platform.Team> teams =
                List.of(new Platform.Team("warband", 168, 856, 16, 88), new Platform.Team("siege", 21, 100, 4, 5));
        Verdict.run(
                arguments,
                folder -> {
                    Platform platform = new Platform(folder, 3, List.of("joburg", "capetown", "durban"), teams);
                    platform.reportS = 3;
                    platform.leaseS = 22;
                    platform.cancelS = 47;
                    return platform;
                },
                HeldForGang::run);
    }

    private static Job training(Platform platform) {
        Job gang = new Job(platform.nextJobId(), "group", "opponent-train", "siege", 1, 21, 4, 150);
        gang.oneZone = true;
        gang.spotAllowed = true;
        gang.runS = 150;
        return gang;
    }

    private static Job crunching(Platform platform, int tasks, double estimateS, double runS) {
        Job array = new Job(platform.nextJobId(), "array", "replay-crunch", "warband", tasks, 5, 1, 36);
        array.spotAllowed = true;
        array.estimateS = estimateS;
        array.runS = runS;
        return array;
    }

    private static String run(Platform platform, boolean trouble) throws Exception {
        World world = platform.world;
        platform.startServices();
        platform.cloud.addType(new Cloud.Type("eland", 24, 4, 192, 0.6, 10.86, 3.53, 5, List.of("joburg")));
        platform.cloud.setCapacity("eland", "joburg", false, 7);
        platform.cloud.setCapacity("eland", "joburg", true, 2);
        platform.cloud.addMachine("eland", "joburg", false, 0);
        platform.cloud.addMachine("eland", "joburg", false, 0);
        platform.startControllers();
        Verdict.require(platform.waitUntilHealthy(20), "the controllers are not healthy");

        Job first = crunching(platform, 1, 55, 110);
        Verdict.require(platform.submit(first), "the first array was not accepted");
        Verdict.require(platform.waitUntilRunning(first, 20), "the first array does not run");
        Worker machine = platform.tasksOf(first).values().iterator().next();
        Job running = training(platform);
        Verdict.require(platform.submit(running), "the first gang was not accepted");
        Verdict.require(platform.waitUntilRunning(running, 20), "the first gang does not run");

        if (trouble) {
            // The class comes twice as often: a second gang, for which its team has no quota left.
            Job second = training(platform);
            Verdict.require(platform.submit(second), "the second gang was not accepted");
        }
        World.sleep(2);
        double overS = world.nowS();
        world.note("the burst is over");

        Job job = crunching(platform, 2, 30, 30);
        Verdict.require(platform.submit(job), "the second array was not accepted");
        int rentalsBefore = platform.cloud.rentalTimesS.size();
        // For how long the job has waited, with no task started, while the machine had room for one.
        double waitedS = 0;
        double lastS = world.nowS();
        double nextPollS = lastS;
        boolean started = false;
        while (!started && waitedS < MAX_WAIT_S && world.nowS() < overS + MAX_WAIT_S + 8) {
            World.sleep(0.25);
            double nowS = world.nowS();
            synchronized (world) {
                started = platform.starts.stream().anyMatch(start -> start.job() == job);
                waitedS = !machine.isGone() && machine.hasRoomFor(job) ? waitedS + nowS - lastS : 0;
            }
            lastS = nowS;
            if (nowS >= nextPollS) {
                nextPollS = nowS + 5;
                platform.poll(job);
            }
        }
        Map<String, Object> outcome = new LinkedHashMap<>();
        synchronized (world) {
            outcome.put("started", started);
            outcome.put("waited beside room", Math.round(waitedS) + " s");
            outcome.put("free on " + machine.name, machine.freeCpus() + " CPUs, " + machine.freeGpus() + " GPUs");
            outcome.put("machines asked for since", platform.cloud.rentalTimesS.size() - rentalsBefore);
        }
        world.note("%s: %s", job.id, outcome);
        Verdict.require(platform.allControllersRun(), "a controller has ended");
        return started || waitedS < MAX_WAIT_S
                ? null
                : "job " + job.id + " of team warband waited for 90 s beside room on " + machine.name + " " + outcome;
    }
}
