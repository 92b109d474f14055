import java.util.List;
import java.util.Map;

/** A service loses a machine, and only machines with idle accelerators are left to run the lost replicas. */
final class ReplicaOnIdleMachine {
    private static final double MAX_WAIT_S = 90;

    private ReplicaOnIdleMachine() {}

    public static void main(String[] arguments) throws Exception {
        List<Platform.Team> teams =
                List.of(new Platform.Team("warband", 168, 856, 16, 88), new Platform.Team("siege", 136, 512, 16, 40));
        Verdict.run(
                arguments,
                folder -> {
                    Platform platform = new Platform(folder, 3, List.of("joburg", "durban"), teams);
                    platform.reportS = 3;
                    platform.leaseS = 22;
                    platform.cancelS = 47;
                    return platform;
                },
                ReplicaOnIdleMachine::run);
    }

    private static String run(Platform platform, boolean trouble) throws Exception {
        World world = platform.world;
        List<String> zones = List.of("joburg", "durban");
        List<String> kuduZones = List.of("joburg");
        platform.startServices();
        platform.cloud.addType(new Cloud.Type("meerkat", 4, 0, 32, 1.0, 0.35, 0.1, 50, zones));
        platform.cloud.addType(new Cloud.Type("kudu", 24, 2, 96, 1.0, 4.82, 1.35, 2, kuduZones));
        platform.cloud.setCapacity("kudu", "joburg", false, 2);
        platform.cloud.setCapacity("kudu", "joburg", true, 1);
        // Every machine of the cheaper type is rented already.
        for (String zone : zones) {
            platform.cloud.addMachine("meerkat", zone, true, 0);
        }
        platform.startControllers();
        Verdict.require(platform.waitUntilHealthy(20), "the controllers are not healthy");

        Job service = new Job(platform.nextJobId(), "daemon", "matchmaker", "warband", 4, 2, 0, 12.8);
        service.urgency = "prod";
        service.apart = true;
        service.spotAllowed = true;
        Verdict.require(platform.submit(service), "the service was not accepted");
        Verdict.require(platform.waitUntilRunning(service, 20), "the service does not run");
        Worker serving = platform.tasksOf(service).values().stream()
                .filter(worker -> worker.zone.equals("joburg"))
                .findFirst()
                .orElse(null);
        Verdict.require(serving != null && serving.spot, "the service is not where it was expected");

        // Work of another team, which gets the first machine with accelerators, as all others are taken.
        Job simulation = new Job(platform.nextJobId(), "array", "balance-sim", "siege", 4, 2, 0, 15);
        simulation.urgency = "high";
        simulation.spotAllowed = true;
        simulation.estimateS = 70;
        simulation.runS = 105;
        Verdict.require(platform.submit(simulation), "the array was not accepted");
        Verdict.require(platform.waitUntilRunning(simulation, 25), "the array does not run");
        World.sleep(1);

        int rentedBefore = platform.cloud.rentedMachines;
        if (trouble) {
            synchronized (world) {
                world.note("the cloud takes back the spot machine in joburg that runs the service");
                platform.cloud.take(serving);
            }
        }
        double overS = world.nowS();
        double roomS = 0;
        double lastS = overS;
        double nextPollS = overS;
        while (world.nowS() < overS + MAX_WAIT_S + 4 && roomS < MAX_WAIT_S) {
            World.sleep(0.25);
            double nowS = world.nowS();
            Map<Worker.Task, Worker> running = platform.tasksOf(service);
            synchronized (world) {
                boolean room = platform.cloud.machines.values().stream()
                        .anyMatch(worker -> worker.isUp()
                                && worker.hasRoomFor(service)
                                && running.values().stream().filter(at -> at.zone.equals(worker.zone)).count() < 2);
                roomS = running.size() < service.tasks && room ? roomS + nowS - lastS : 0;
            }
            lastS = nowS;
            if (trouble && running.size() == service.tasks) {
                break;
            }
            if (nowS >= nextPollS) {
                nextPollS = nowS + 5;
                platform.poll(service);
            }
        }
        int replicas = platform.tasksOf(service).size();
        synchronized (world) {
            platform.cloud.machines.values().forEach(worker -> world.note(
                    "machine %s, %s in zone %s: %.0f of %.0f CPUs free",
                    worker.name, worker.type.name(), worker.zone, worker.freeCpus(), worker.type.cpus()));
        }
        world.note(
                "%d of %d replicas run; the others have waited for %.1f s beside room; requests for machines: %d",
                replicas, service.tasks, roomS, platform.cloud.rentalTimesS.size());
        Verdict.require(platform.allControllersRun(), "a controller has ended");
        return roomS < MAX_WAIT_S
                ? null
                : (service.tasks - replicas) + " of " + service.tasks + " replicas of " + service.id
                        + " did not run again for 90 s, beside room on machines that fit; machines rented meanwhile: "
                        + (platform.cloud.rentedMachines - rentedBefore);
    }
}
