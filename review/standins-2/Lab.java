import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: controllers as processes, and stand-ins for everything else. */
final class Lab {
    /** A controller: its addresses, its settings and its process. */
    static final class Controller {
        String label;
        String zone;
        String listen;
        String clusterListen;
        Path settings;
        Process process;
    }

    /** What differs between deployments. */
    static final class Site {
        List<String> zones = List.of("uppsala");
        int controllers = 3;
        double reportS = 2;
        double leaseS = 10;
        double cancelS = 30;
        double stateRps = 200;
        double stateWriteRps = 25;
        int txnOps = 8;
        double cloudRps = 4;
        double listLagS = 10;
        double memMb = 205;
        int fdLimit = 1200;
        /** By team: guaranteed vCPUs, limit of vCPUs, guaranteed cards, limit of cards; 0 means none. */
        Map<String, double[]> teams = noLimits(12);
        List<Cloud.Build> builds = List.of(
                new Cloud.Build("spinett", 4, 0, 32, 0.2, 0.18, 0.07, 30, List.of("uppsala")),
                new Cloud.Build("orgel", 64, 0, 256, 0.25, 2.28, 0.96, 20, List.of("uppsala")),
                new Cloud.Build("flygel", 24, 2, 96, 1.0, 4.19, 1.97, 60, List.of("uppsala")));

        private static Map<String, double[]> noLimits(int count) {
            Map<String, double[]> teams = new LinkedHashMap<>();
            for (int i = 0; i < count; i++) {
                teams.put(String.format(Locale.ROOT, "gravyr-%02d", i), new double[4]);
            }
            return teams;
        }
    }

    final Record record;
    final double reportS;
    final double leaseS;
    final List<Controller> controllers = new ArrayList<>();
    final StateService state;
    final Cloud cloud;
    private final Map<String, Job> jobs = new ConcurrentHashMap<>();
    private final Map<String, String> lastStatus = new ConcurrentHashMap<>();
    private final Map<String, Boolean> doneTasks = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private final Path folder;
    private final List<String> runLine;
    private volatile int answering = -1;
    private volatile double answeredS;

    Lab(Site site, Path recordFile) throws IOException {
        record = new Record(recordFile);
        reportS = site.reportS;
        leaseS = site.leaseS;
        folder = Files.createTempDirectory("mountlug-review");
        state = new StateService(site.stateRps, site.stateWriteRps, site.txnOps);
        cloud = new Cloud(this, site.builds, site.cloudRps, site.listLagS);
        runLine = runLine();
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < site.controllers; i++) {
            Controller controller = new Controller();
            controller.label = "rig-" + i;
            controller.zone = site.zones.get(i % site.zones.size());
            controller.listen = freeAddress(sockets);
            controller.clusterListen = freeAddress(sockets);
            controller.settings = folder.resolve(controller.label + ".toml");
            controllers.add(controller);
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        for (Controller controller : controllers) {
            Files.writeString(controller.settings, settings(site, controller));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static String freeAddress(List<ServerSocket> sockets) throws IOException {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        sockets.add(socket);
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Returns the program and the arguments of the run line of the deploy file. */
    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("no run line");
    }

    private String settings(Site site, Controller own) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "label = \"%s\"%nzone = \"%s\"%nlisten = \"%s\"%ncluster_listen = \"%s\"%n",
                own.label,
                own.zone,
                own.listen,
                own.clusterListen));
        for (Controller other : controllers) {
            if (other != own) {
                text.append(String.format(
                        "[[others]]%nlabel = \"%s\"%nzone = \"%s\"%nendpoint = \"%s\"%n",
                        other.label,
                        other.zone,
                        other.clusterListen));
            }
        }
        text.append(String.format("[endpoints]%ncloud = \"%s\"%nstate = \"%s\"%n", cloud.address, state.address));
        text.append(String.format(
                "[cluster]%nsize = %d%nzones = [\"%s\"]%nskew_ms = 25.0%n",
                site.controllers,
                String.join("\", \"", site.zones)));
        site.teams.forEach((team, limits) -> text.append(String.format(
                Locale.ROOT,
                "[[cluster.teams]]%nname = \"%s\"%ncpus = %f%ncpus_max = %f%ngpus = %f%ngpus_max = %f%n",
                team,
                limits[0],
                limits[1],
                limits[2],
                limits[3])));
        text.append(String.format(
                Locale.ROOT,
                "[cluster.workers]%nreport_s = %f%nlease_s = %f%ngang_wait_s = 50.0%ngang_peer_s = 6.0%ncancel_s = %f%n",
                site.reportS,
                site.leaseS,
                site.cancelS));
        text.append(String.format(
                Locale.ROOT,
                "[cluster.state]%nrps = %f%nwrite_rps = %f%nvalue_kb = 8.0%ntxn_ops = %d%n",
                site.stateRps,
                site.stateWriteRps,
                site.txnOps));
        text.append(String.format(
                Locale.ROOT, "[cluster.cloud]%nrps = %f%nlist_lag_s = %f%n", site.cloudRps, site.listLagS));
        text.append(String.format(
                Locale.ROOT,
                "[cluster.machine_limits]%ncores = 0.255%nmem_mb = %f%nfd_limit = %d%n",
                site.memMb,
                site.fdLimit));
        return text.toString();
    }

    void startControllers() throws IOException {
        for (Controller controller : controllers) {
            start(controller);
        }
    }

    void start(Controller controller) throws IOException {
        List<String> command = new ArrayList<>(runLine);
        command.add(controller.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", "info");
        File log = folder.resolve(controller.label + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        controller.process = builder.start();
        record.add("controller " + controller.label + " is started");
    }

    void kill(Controller controller) {
        controller.process.destroyForcibly();
        try {
            controller.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        record.add("controller " + controller.label + " is killed");
    }

    /** Ends all controllers and copies their logs, which the verdict does not use, behind the record. */
    void close() {
        for (Controller controller : controllers) {
            if (controller.process != null) {
                controller.process.destroyForcibly();
            }
        }
        for (Controller controller : controllers) {
            try {
                if (controller.process != null) {
                    controller.process.waitFor(5, TimeUnit.SECONDS);
                }
                Path log = folder.resolve(controller.label + ".log");
                for (String line : Files.exists(log) ? Files.readAllLines(log) : List.<String>of()) {
                    record.add("log of " + controller.label + ": " + line);
                }
                Files.deleteIfExists(log);
                Files.deleteIfExists(controller.settings);
            } catch (IOException | InterruptedException e) {
                record.add(e.toString());
            }
        }
        folder.toFile().delete();
    }

    // ---- what workers see

    Job job(String id) {
        return jobs.get(id);
    }

    int indexOf(String label) {
        for (int i = 0; i < controllers.size(); i++) {
            if (controllers.get(i).label.equals(label)) {
                return i;
            }
        }
        return -1;
    }

    void answeredReport(int node) {
        answering = node;
        answeredS = Record.now();
    }

    /** Returns the controller that last answered a worker's report, or null if none has since that time. */
    Controller answeringSince(double sinceS) {
        return answering >= 0 && answeredS >= sinceS ? controllers.get(answering) : null;
    }

    /** Waits until some controller leads and every worker has reported to it twice, so that every machine can get work. */
    void awaitWorkers(double untilS) {
        Verdict.require(
                Timing.await(untilS, () -> cloud.workers().stream().allMatch(worker -> worker.answeredReports() >= 2)),
                "the workers' reports are not answered");
    }

    /** Records that a worker got a start command that has an effect. */
    void started(String task) {
        starts.merge(task.substring(0, task.indexOf('/')), 1, Integer::sum);
    }

    /** Returns the number of start commands for tasks of a job that had an effect. */
    int startOrders(Job job) {
        return starts.getOrDefault(job.id, 0);
    }

    void markDone(String task) {
        doneTasks.put(task, true);
    }

    boolean isDone(String task) {
        return doneTasks.containsKey(task);
    }

    /** Returns the number of tasks of a job that have completed. */
    int doneCount(Job job) {
        return (int) doneTasks.keySet().stream()
                .filter(task -> task.startsWith(job.id + "/"))
                .count();
    }

    /** Returns the machine of each task of a job that is running now. */
    Map<String, Worker> running(Job job) {
        Map<String, Worker> running = new HashMap<>();
        for (Worker worker : cloud.workers()) {
            for (String task : worker.tasksInState("running")) {
                if (task.startsWith(job.id + "/")) {
                    running.put(task, worker);
                }
            }
        }
        return running;
    }

    // ---- users

    /** Calls a controller as a user behind the load balancer: up to three that accept the connection. */
    private Http.Answer callAsUser(String method, String path, Map<String, Object> body, double timeoutS) {
        for (Controller controller : controllers) {
            if (controller.process == null || !controller.process.isAlive()) {
                continue;
            }
            Http.Answer answer = Http.call(method, controller.listen, path, body, timeoutS);
            if (answer.status() != 0) {
                return answer;
            }
        }
        return new Http.Answer(0, Map.of());
    }

    /** Submits a job, with retries for up to 60 s; returns whether it was accepted. From then on its user polls. */
    boolean submit(Job job) {
        jobs.put(job.id, job);
        double startS = Record.now();
        while (Record.now() < startS + 60) {
            Http.Answer answer = callAsUser("POST", "/work", job.fields, 5);
            record.add("user submits " + job.id + ": " + answer.status() + " " + answer.body());
            if (answer.status() == 201 || answer.status() == 200) {
                Thread thread = new Thread(() -> poll(job));
                thread.setDaemon(true);
                thread.start();
                return true;
            }
            if (answer.status() == 400 || answer.status() == 422) {
                return false;
            }
            Timing.sleep(1);
        }
        return false;
    }

    private void poll(Job job) {
        while (true) {
            Timing.sleep(5);
            Http.Answer answer = callAsUser("GET", "/work/" + job.id, null, 2);
            record.add("user asks for " + job.id + ": " + answer.status() + " " + answer.body());
            if (answer.status() == 200) {
                lastStatus.put(job.id, (String) answer.body().get("status"));
            }
            if ("done".equals(lastStatus.get(job.id))) {
                return;
            }
        }
    }

    String lastStatus(Job job) {
        return lastStatus.getOrDefault(job.id, "none");
    }
}
