import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the controllers as processes with the run line of the deploy file, the state
 * service, the cloud with its machines, and users.
 */
final class Platform implements AutoCloseable {
    /** A team of the settings; 0 stands for no guarantee and for no limit. */
    record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    final World world;
    final Path repository = Path.of("").toAbsolutePath();
    final Path caseFolder;
    double reportS = 2;
    double leaseS = 10;
    double cancelS = 30;
    double gangWaitS = 50;
    double gangPeerS = 6;
    int txnOps = 8;
    double valueKb = 8;
    double listLagS = 10;
    final List<String> zones;
    final List<Team> teams;
    private final int size;
    StateService state;
    Cloud cloud;
    /** When the controllers were started; infinite before. */
    double startedControllersS = Double.POSITIVE_INFINITY;
    private int[] ports;
    private final Process[] processes;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private int lastJob = 400;
    private int nextController;
    /** By job and attempt: the tasks of a gang on machines, with their workers. */
    private final Map<String, Map<Worker.Task, Worker>> gangs = new LinkedHashMap<>();
    /** Starts that count: tasks that have their image, in order. */
    final List<Started> starts = new ArrayList<>();
    /** Rules that were broken beside the one of the case; must stay empty. */
    final List<String> otherBreaches = new ArrayList<>();

    /** A task that has its image. */
    record Started(double atS, Job job, int task, long attempt, Worker worker) {}

    Platform(Path caseFolder, int size, List<String> zones, List<Team> teams) throws IOException {
        this.caseFolder = caseFolder;
        this.world = new World(caseFolder.resolve("record.txt"));
        this.size = size;
        this.zones = zones;
        this.teams = teams;
        this.processes = new Process[size];
    }

    void startServices() throws IOException {
        state = new StateService(world, txnOps, valueKb);
        cloud = new Cloud(this, listLagS);
        ports = World.freePorts(2 * size);
    }

    // ---- controllers ----------------------------------------------------------------------------------------------

    void startControllers() throws IOException {
        startedControllersS = world.nowS();
        for (int i = 0; i < size; i++) {
            Files.writeString(settingsFile(i), settings(i));
            startController(i);
        }
    }

    private Path settingsFile(int index) {
        return world.directory.resolve("rig-" + index + ".toml");
    }

    private String settings(int index) {
        StringBuilder text = new StringBuilder();
        text.append("label = \"rig-%d\"\nzone = \"%s\"\n".formatted(index, zones.get(index % zones.size())));
        text.append("listen = \"127.0.0.1:%d\"\n".formatted(ports[2 * index]));
        text.append("cluster_listen = \"127.0.0.1:%d\"\n".formatted(ports[2 * index + 1]));
        for (int peer = 0; peer < size; peer++) {
            if (peer != index) {
                text.append("[[others]]\nlabel = \"rig-%d\"\nzone = \"%s\"\nendpoint = \"127.0.0.1:%d\"\n"
                        .formatted(peer, zones.get(peer % zones.size()), ports[2 * peer + 1]));
            }
        }
        text.append("[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n".formatted(cloud.address, state.address));
        text.append("[cluster]\nsize = %d\nzones = [\"%s\"]\nskew_ms = 25.0\n"
                .formatted(size, String.join("\", \"", zones)));
        for (Team team : teams) {
            text.append("[[cluster.teams]]\nname = \"%s\"\ncpus = %s\ncpus_max = %s\ngpus = %s\ngpus_max = %s\n"
                    .formatted(team.name, team.cpus, team.cpusMax, team.gpus, team.gpusMax));
        }
        text.append("""
                [cluster.workers]
                report_s = %s
                lease_s = %s
                gang_wait_s = %s
                gang_peer_s = %s
                cancel_s = %s
                [cluster.state]
                rps = 200.0
                write_rps = 25.0
                value_kb = %s
                txn_ops = %d
                [cluster.cloud]
                rps = 4.0
                list_lag_s = %s
                [cluster.machine_limits]
                cores = 0.255
                mem_mb = 205.0
                fd_limit = 1200
                """.formatted(reportS, leaseS, gangWaitS, gangPeerS, cancelS, valueKb, txnOps, listLagS));
        return text.toString();
    }

    /** Starts a controller with the run line of the deploy file. */
    void startController(int index) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(settingsFile(index).toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes[index] = process;
        world.note("controller rig-%d started", index);
        Thread reader = new Thread(() -> {
            try (var lines = process.inputReader()) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    world.note("  rig-%d: %s", index, line.replaceFirst("^\\[[^]]*\\] ", ""));
                }
            } catch (IOException e) {
                // the process has ended
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    String listenAddress(int index) {
        return "127.0.0.1:" + ports[2 * index];
    }

    Integer indexOf(String label) {
        for (int i = 0; i < size; i++) {
            if (("rig-" + i).equals(label)) {
                return i;
            }
        }
        return null;
    }

    int nextController() {
        return nextController++ % size;
    }

    int nextController(int current) {
        return (current + 1) % size;
    }

    boolean allControllersRun() {
        for (Process process : processes) {
            if (process == null || !process.isAlive()) {
                return false;
            }
        }
        return true;
    }

    /** Waits until every controller is healthy. */
    boolean waitUntilHealthy(double limitS) {
        double untilS = world.nowS() + limitS;
        while (world.nowS() < untilS) {
            boolean healthy = true;
            for (int i = 0; i < size && healthy; i++) {
                healthy = world.call(listenAddress(i), "GET", "/up", null, 1).join().is(200);
            }
            if (healthy) {
                return true;
            }
            World.sleep(0.2);
        }
        return false;
    }

    // ---- users ----------------------------------------------------------------------------------------------------

    String nextJobId() {
        return String.format("wk-%06d", ++lastJob);
    }

    Job job(String id) {
        synchronized (world) {
            return jobs.get(id);
        }
    }

    /** Submits a job as a user does: again after a second until it is accepted, for 60 s at the most. */
    boolean submit(Job job) {
        synchronized (world) {
            jobs.put(job.id, job);
        }
        double untilS = world.nowS() + 60;
        while (world.nowS() < untilS) {
            int node = nextController();
            World.Answer answer = world.call(listenAddress(node), "POST", "/work", job.submission(), 5).join();
            world.note(
                    "user: POST /work %s (%s, team %s, %s, %d tasks of %s CPUs%s) at rig-%d: %d %s",
                    job.id, job.lane, job.team, job.shape, job.tasks, job.cpus, job.oneZone ? ", one zone" : "", node,
                    answer.status(), answer.body());
            if (answer.is(201) || answer.is(200)) {
                job.acceptedS = world.nowS();
                job.lastStatus = "pending";
                return true;
            }
            if (answer.is(400) || answer.is(422)) {
                return false;
            }
            World.sleep(1);
        }
        return false;
    }

    /** Polls a job once. */
    World.Answer poll(Job job) {
        int node = nextController();
        World.Answer answer = world.call(listenAddress(node), "GET", "/work/" + job.id, null, 2).join();
        String status = answer.is(200) ? answer.text("status") : null;
        world.note("user: GET /work/%s at rig-%d: %d %s", job.id, node, answer.status(), answer.body());
        if (status != null) {
            job.lastStatus = status;
        }
        if ("done".equals(status) && Double.isNaN(job.doneS)) {
            job.doneS = world.nowS();
        }
        return answer;
    }

    /** Polls jobs every two seconds until a time, or until all of them are done. */
    void pollUntil(double untilS, List<Job> polled) {
        while (world.nowS() < untilS) {
            boolean allDone = true;
            for (Job job : polled) {
                if (Double.isNaN(job.doneS)) {
                    poll(job);
                    allDone &= !Double.isNaN(job.doneS);
                }
            }
            if (allDone) {
                return;
            }
            World.sleep(Math.min(2, Math.max(0.05, untilS - world.nowS())));
        }
    }

    // ---- tasks ----------------------------------------------------------------------------------------------------

    private String gangKey(Worker.Task task) {
        return task.job.id + "#" + task.attempt;
    }

    /** A task has its image: from now on it is on its machine. */
    void onImage(Worker worker, Worker.Task task) {
        world.note("%s try %d on %s has its image: %s", task.name(), task.attempt, worker.name, task.status);
        starts.add(new Started(world.nowS(), task.job, task.number, task.attempt, worker));
        checkStart(worker, task);
        if (!task.job.isGang()) {
            return;
        }
        Map<Worker.Task, Worker> gang = gangs.computeIfAbsent(gangKey(task), key -> new LinkedHashMap<>());
        gang.put(task, worker);
        world.after(gangWaitS, () -> {
            synchronized (world) {
                if (task.status.equals("gathering")) {
                    worker.exit(task, "incomplete");
                }
            }
        });
        long gathering = gang.keySet().stream().filter(other -> other.status.equals("gathering")).count();
        if (gathering == task.job.tasks) {
            world.note("gang %s try %d runs", task.job.id, task.attempt);
            for (Map.Entry<Worker.Task, Worker> member : gang.entrySet()) {
                if (member.getKey().status.equals("gathering")) {
                    member.getKey().status = "running";
                    member.getKey().runningSinceS = world.nowS();
                    member.getValue().reportSoon();
                }
            }
            world.after(task.job.runS, () -> {
                synchronized (world) {
                    boolean complete = gang.keySet().stream().filter(Worker.Task::isOnMachine).count()
                            == task.job.tasks;
                    if (complete) {
                        Map.copyOf(gang).forEach((member, at) -> at.exit(member, "done"));
                    }
                }
            });
        }
    }

    private void checkStart(Worker worker, Worker.Task task) {
        for (Worker other : cloud.machines.values()) {
            for (Worker.Task running : other.tasksOnMachine()) {
                boolean same = running != task && running.name().equals(task.name());
                if (same && !running.status.equals("fetching")) {
                    otherBreaches.add("ran_twice: " + task.name() + " on " + worker.name + " and " + other.name);
                }
                if (running != task
                        && running.job == task.job
                        && task.job.oneZone
                        && !running.status.equals("fetching")
                        && !other.zone.equals(worker.zone)) {
                    otherBreaches.add("wrong_place: " + task.name() + " in zone " + worker.zone);
                }
            }
        }
        for (Team team : teams) {
            double cpus = 0;
            for (Worker other : cloud.machines.values()) {
                for (Worker.Task running : other.tasksOnMachine()) {
                    cpus += running.job.team.equals(team.name) && !running.status.equals("fetching")
                            ? running.job.cpus
                            : 0;
                }
            }
            if (team.cpusMax > 0 && cpus > team.cpusMax + 1e-6) {
                otherBreaches.add("quota: team " + team.name + " uses " + cpus + " CPUs");
            }
        }
    }

    void onExit(Worker worker, Worker.Task task) {
        if (!"done".equals(task.cause)) {
            onGone(worker, task);
        }
    }

    /** A task of a gang is gone: the others of a running gang notice within {@code gang_peer_s}. */
    void onGone(Worker worker, Worker.Task task) {
        Map<Worker.Task, Worker> gang = gangs.get(gangKey(task));
        if (gang == null || gang.remove(task) == null || Double.isNaN(task.runningSinceS)) {
            return;
        }
        world.after(gangPeerS / 2, () -> {
            synchronized (world) {
                Map.copyOf(gang).forEach((member, at) -> {
                    if (member.status.equals("running") || member.status.equals("saving")) {
                        at.exit(member, "peers");
                    }
                });
            }
        });
    }

    /** Returns the tasks of a job that are on machines, with their workers. */
    Map<Worker.Task, Worker> tasksOf(Job job) {
        Map<Worker.Task, Worker> found = new LinkedHashMap<>();
        synchronized (world) {
            for (Worker worker : cloud.machines.values()) {
                for (Worker.Task task : worker.tasksOnMachine()) {
                    if (task.job == job) {
                        found.put(task, worker);
                    }
                }
            }
        }
        return found;
    }

    /** Waits until all tasks of a job run; returns whether they did in time. */
    boolean waitUntilRunning(Job job, double limitS) {
        double untilS = world.nowS() + limitS;
        while (world.nowS() < untilS) {
            long running = tasksOf(job).keySet().stream()
                    .filter(task -> task.status.equals("running"))
                    .count();
            if (running == job.tasks) {
                return true;
            }
            World.sleep(0.1);
        }
        return false;
    }

    /** Ends all controllers that were started. */
    void killControllers() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killControllers();
        for (Process process : processes) {
            if (process != null) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        world.close();
    }
}
