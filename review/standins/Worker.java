import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** One machine with its worker, as PROTOCOL describes both: reports, lease, token, commands, tasks and images. */
final class Worker {
    /** A task on the machine; {@code attempt} is its {@code try}. */
    static final class Task {
        final Job job;
        final int number;
        final long attempt;
        String status = "fetching";
        String cause;
        boolean saved;
        double runningSinceS = Double.NaN;

        Task(Job job, int number, long attempt) {
            this.job = job;
            this.number = number;
            this.attempt = attempt;
        }

        String name() {
            return job.id + "/" + number;
        }

        boolean isOnMachine() {
            return !status.equals("exited");
        }
    }

    private static final double ANSWER_LIMIT_S = 4;

    private final World world;
    private final Platform platform;
    final String name;
    final Cloud.Type type;
    final String zone;
    final boolean spot;
    final double rentedS;
    String address;
    private boolean up;
    private boolean gone;
    private long stint = 1;
    private long tick;
    private long baton;
    /** When the last answered report was sent, or when the session began. */
    private double leaseFromS;
    private int controller;
    private boolean reportInFlight;
    private double lastReportS = -1;
    private double nextReportS;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Double> imageReadyS = new LinkedHashMap<>();

    Worker(Platform platform, String name, Cloud.Type type, String zone, boolean spot, double rentedS) {
        this.platform = platform;
        this.world = platform.world;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.rentedS = rentedS;
        try {
            address = world.serve(this::handleCommands);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean isUp() {
        return up;
    }

    boolean isGone() {
        return gone;
    }

    /** Returns the tasks that are on the machine. */
    List<Task> tasksOnMachine() {
        return tasks.values().stream().filter(Task::isOnMachine).toList();
    }

    double freeCpus() {
        double free = type.cpus();
        for (Task task : tasksOnMachine()) {
            free -= task.job.cpus;
        }
        return free;
    }

    double freeGpus() {
        double free = type.gpus();
        for (Task task : tasksOnMachine()) {
            free -= task.job.gpus;
        }
        return free;
    }

    boolean hasRoomFor(Job job) {
        double cpus = job.cpus;
        double gpus = job.gpus;
        double ramGb = job.ramGb;
        for (Task task : tasksOnMachine()) {
            cpus += task.job.cpus;
            gpus += task.job.gpus;
            ramGb += task.job.ramGb;
        }
        return cpus <= type.cpus() + 1e-9 && gpus <= type.gpus() + 1e-9 && ramGb <= type.ramGb() + 1e-9;
    }

    // ---- life -----------------------------------------------------------------------------------------------------

    void boot() {
        up = true;
        leaseFromS = world.nowS();
        controller = platform.nextController();
        nextReportS = world.nowS();
        world.note("machine %s is up: %s in zone %s%s", name, type.name(), zone, spot ? ", spot" : "");
        step();
    }

    /** Ends the machine: nothing on it goes on, and it answers nothing any more. */
    void terminate(String why) {
        if (gone) {
            return;
        }
        gone = true;
        for (Task task : tasksOnMachine()) {
            vanish(task, "machine " + name + " " + why);
        }
        tasks.clear();
        world.note("machine %s: %s", name, why);
    }

    private void vanish(Task task, String why) {
        world.note("%s try %d on %s is gone: %s", task.name(), task.attempt, name, why);
        task.status = "exited";
        platform.onGone(this, task);
    }

    /** Does what is due, every 50 ms. */
    private void step() {
        synchronized (world) {
            if (gone || world.closed) {
                return;
            }
            double nowS = world.nowS();
            if (nowS - leaseFromS > platform.leaseS) {
                for (Task task : tasksOnMachine()) {
                    vanish(task, "the worker's lease ended");
                }
                tasks.clear();
                stint++;
                leaseFromS = nowS;
                world.note("machine %s: session %d", name, stint);
                reportSoon();
            }
            advanceTasks(nowS);
            if (!reportInFlight && nowS >= nextReportS && nowS - lastReportS >= 0.5) {
                sendReport(nowS);
            }
        }
        world.after(0.05, this::step);
    }

    private void advanceTasks(double nowS) {
        for (Task task : List.copyOf(tasks.values())) {
            if (task.status.equals("fetching") && nowS >= imageReadyS.get(task.job.image)) {
                task.status = task.job.isGang() ? "gathering" : "running";
                task.runningSinceS = task.job.isGang() ? Double.NaN : nowS;
                platform.onImage(this, task);
                reportSoon();
            }
            if (task.status.equals("running")
                    && !task.job.isGang()
                    && !task.job.isService()
                    && nowS - task.runningSinceS >= task.job.runS) {
                exit(task, "done");
            }
        }
    }

    /** Ends a task that stays in the reports until it is cleared. */
    void exit(Task task, String cause) {
        if (!task.isOnMachine()) {
            return;
        }
        task.status = "exited";
        task.cause = cause;
        world.note("%s try %d on %s exited: %s", task.name(), task.attempt, name, cause);
        platform.onExit(this, task);
        reportSoon();
    }

    void reportSoon() {
        nextReportS = Math.min(nextReportS, world.nowS());
    }

    // ---- reports --------------------------------------------------------------------------------------------------

    private Map<String, Object> report() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece =
                    World.map("piece", task.name(), "try", task.attempt, "status", task.status);
            if (task.cause != null) {
                piece.put("cause", task.cause);
            }
            if (task.saved) {
                piece.put("saved", true);
            }
            pieces.add(piece);
        }
        return World.map(
                "rig", name, "address", address, "build", type.name(), "site", zone, "loaners", spot, "stint", stint,
                "tick", ++tick, "baton", baton, "recallS", null, "pieces", pieces);
    }

    private void sendReport(double sentS) {
        reportInFlight = true;
        lastReportS = sentS;
        nextReportS = sentS + platform.reportS * (0.75 + 0.5 * Math.random());
        long session = stint;
        Map<String, Object> body = report();
        world.call(platform.listenAddress(controller), "POST", "/agent/beat", body, ANSWER_LIMIT_S)
                .thenAccept(answer -> {
                    synchronized (world) {
                        reportInFlight = false;
                        if (!gone && !world.closed) {
                            handleAnswer(answer, sentS, session);
                        }
                    }
                });
    }

    private void handleAnswer(World.Answer answer, double sentS, long session) {
        if (answer.is(200)) {
            long token = answer.number("baton", -1);
            if (session != stint || token < baton) {
                return;
            }
            leaseFromS = sentS;
            learnToken(token);
            execute(World.asList(answer.body().get("orders")));
            return;
        }
        Integer foreman = answer.is(421) ? platform.indexOf(answer.text("foreman")) : null;
        if (foreman != null && foreman != controller) {
            controller = foreman;
            nextReportS = world.nowS() + 0.5 * Math.random();
        } else {
            controller = platform.nextController(controller);
            nextReportS = world.nowS() + 1;
        }
    }

    private void learnToken(long token) {
        if (token > baton) {
            baton = token;
            reportSoon();
        }
    }

    // ---- commands -------------------------------------------------------------------------------------------------

    private CompletableFuture<World.Answer> handleCommands(World.Request request) {
        synchronized (world) {
            if (gone || !up) {
                return null;
            }
            if (request.path().equals("/show")) {
                return CompletableFuture.completedFuture(new World.Answer(200, report()));
            }
            Map<String, Object> body = request.body();
            if (!(body.get("baton") instanceof Number token) || !(body.get("stint") instanceof Number session)) {
                return CompletableFuture.completedFuture(new World.Answer(400, Map.of()));
            }
            if (token.longValue() < baton || session.longValue() != stint) {
                return CompletableFuture.completedFuture(new World.Answer(409, report()));
            }
            learnToken(token.longValue());
            execute(World.asList(body.get("orders")));
            return CompletableFuture.completedFuture(new World.Answer(200, report()));
        }
    }

    private void execute(List<Object> orders) {
        for (Object element : orders) {
            Map<String, Object> order = World.asMap(element);
            String piece = (String) order.get("piece");
            long attempt = ((Number) order.get("try")).longValue();
            Task task = tasks.get(piece + "#" + attempt);
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (task == null) {
                        start(piece, attempt);
                    }
                }
                case "kill" -> {
                    if (task != null && task.isOnMachine()) {
                        kill(task, ((Number) order.get("leewayS")).doubleValue());
                    }
                }
                default -> {
                    if (task != null && !task.isOnMachine()) {
                        tasks.remove(piece + "#" + attempt);
                    }
                }
            }
        }
    }

    private void start(String piece, long attempt) {
        int slash = piece.lastIndexOf('/');
        Job job = platform.job(piece.substring(0, slash));
        world.note("%s try %d: start on %s", piece, attempt, name);
        Task task = new Task(job == null ? Job.UNKNOWN : job, Integer.parseInt(piece.substring(slash + 1)), attempt);
        boolean busy = tasks.values().stream()
                .anyMatch(other -> other.isOnMachine() && other.name().equals(piece) && other.attempt != attempt);
        boolean fits = job != null && hasRoomFor(job);
        tasks.put(piece + "#" + attempt, task);
        if (job == null || task.number >= job.tasks) {
            exit(task, "unknown");
        } else if (busy) {
            exit(task, "busy");
        } else if (!fits) {
            exit(task, "full");
        } else {
            imageReadyS.putIfAbsent(job.image, world.nowS() + job.imageGb / type.fetchGbPerS());
        }
        reportSoon();
    }

    private void kill(Task task, double leewayS) {
        world.note("%s try %d: kill on %s, leeway %.1f s", task.name(), task.attempt, name, leewayS);
        if (task.status.equals("running") && task.job.saveIntervalS > 0 && leewayS >= task.job.saveS) {
            task.status = "saving";
            world.after(task.job.saveS, () -> {
                synchronized (world) {
                    if (task.status.equals("saving")) {
                        task.saved = true;
                        exit(task, "halted");
                    }
                }
            });
            reportSoon();
        } else {
            exit(task, "halted");
        }
    }
}
