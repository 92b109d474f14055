import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A machine and its worker: reports to the controllers, runs tasks, keeps its lease. */
final class Worker {
    private static final class Task {
        final Job job;
        final String name;
        final long attempt;
        String status = "fetching";
        String cause;
        boolean saved;
        double nextS = Double.POSITIVE_INFINITY;

        Task(Job job, String name, long attempt) {
            this.job = job;
            this.name = name;
            this.attempt = attempt;
        }

        boolean onMachine() {
            return !status.equals("exited");
        }
    }

    private final Lab lab;
    final String name;
    final Cloud.Build build;
    final String site;
    final boolean spot;
    private final Random random;
    private HttpServer server;
    private String address;
    private volatile boolean gone;
    private long stint = 1;
    private long tick;
    private long baton;
    private double sessionBeganS;
    private double answeredSentS = Double.NaN;
    private volatile int answeredReports;
    private double batonChangeS = Double.NEGATIVE_INFINITY;
    private boolean changed;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Double> images = new LinkedHashMap<>();

    Worker(Lab lab, String name, Cloud.Build build, String site, boolean spot) {
        this.lab = lab;
        this.name = name;
        this.build = build;
        this.site = site;
        this.spot = spot;
        random = new Random(name.hashCode());
    }

    /** The machine is up: its worker starts to report. */
    void start() {
        try {
            server = Http.serve(this::handleDirect);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        address = Http.address(server);
        sessionBeganS = Record.now();
        lab.record.add("machine " + name + " " + build.name() + " in " + site + (spot ? ", spot" : "") + " is up");
        Thread reporter = new Thread(this::report);
        reporter.setDaemon(true);
        reporter.start();
        Thread runner = new Thread(this::run);
        runner.setDaemon(true);
        runner.start();
    }

    /** The machine is gone with all that is on it. */
    synchronized void end(String why) {
        if (gone) {
            return;
        }
        gone = true;
        if (server != null) {
            server.stop(0);
        }
        List<String> lost = new ArrayList<>();
        for (Task task : tasks.values()) {
            if (task.onMachine()) {
                lost.add(task.name);
            }
        }
        lab.record.add("machine " + name + " is gone (" + why + "), with " + lost);
        tasks.clear();
    }

    boolean isUp() {
        return server != null && !gone;
    }

    /** Returns the number of reports that were answered by 200 with a valid token. */
    int answeredReports() {
        return answeredReports;
    }

    synchronized List<String> tasksInState(String status) {
        List<String> names = new ArrayList<>();
        for (Task task : tasks.values()) {
            if (task.status.equals(status)) {
                names.add(task.name);
            }
        }
        return names;
    }

    /** Returns the vCPUs and GB of memory that no task takes. */
    synchronized double[] room() {
        double vcpus = build.vcpus();
        double ramGb = build.ramGb();
        for (Task task : tasks.values()) {
            if (task.onMachine()) {
                vcpus -= task.job.amount("vcpus");
                ramGb -= task.job.amount("ramGb");
            }
        }
        return new double[] {vcpus, ramGb};
    }

    // ---- tasks

    private void run() {
        while (!gone) {
            synchronized (this) {
                double now = Record.now();
                for (Task task : tasks.values()) {
                    if (now < task.nextS) {
                        continue;
                    }
                    if (task.status.equals("fetching")) {
                        images.put((String) task.job.fields.get("bundle"), now);
                        if (lab.isDone(task.name)) {
                            exit(task, "done");
                        } else {
                            task.status = "running";
                            task.nextS = task.job.isDaemon() ? Double.POSITIVE_INFINITY : now + task.job.runS;
                            lab.record.add(task.name + " try " + task.attempt + " runs on " + name);
                        }
                    } else if (task.status.equals("running") && task.job.hasMistake) {
                        exit(task, "error");
                    } else if (task.status.equals("running")) {
                        lab.markDone(task.name);
                        exit(task, "done");
                    } else if (task.status.equals("saving")) {
                        task.saved = true;
                        exit(task, "halted");
                    }
                    changed = true;
                }
                double leaseFromS = Double.isNaN(answeredSentS) ? sessionBeganS : answeredSentS;
                if (now - leaseFromS > lab.leaseS) {
                    lab.record.add("machine " + name + ": lease of session " + stint + " ended");
                    tasks.clear();
                    stint++;
                    sessionBeganS = now;
                    answeredSentS = Double.NaN;
                    changed = true;
                }
            }
            Timing.sleep(0.02);
        }
    }

    private void exit(Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
        task.nextS = Double.POSITIVE_INFINITY;
        lab.record.add(task.name + " try " + task.attempt + " exits on " + name + ": " + cause);
        changed = true;
    }

    private void execute(Map<String, Object> order) {
        String taskName = (String) order.get("piece");
        long attempt = Http.number(order, "try", 0);
        String key = taskName + "#" + attempt;
        Task task = tasks.get(key);
        lab.record.add("order to " + name + ": " + order.get("verb") + " " + taskName + " try " + attempt);
        switch ((String) order.get("verb")) {
            case "start" -> {
                if (task == null) {
                    start(taskName, attempt, key);
                }
            }
            case "kill" -> {
                if (task == null || !task.onMachine()) {
                    return;
                }
                double leewayS = Http.decimal(order, "leewayS");
                if (task.status.equals("running")
                        && task.job.amount("bookmarkS") > 0
                        && leewayS >= task.job.amount("stashS")) {
                    task.status = "saving";
                    task.nextS = Record.now() + task.job.amount("stashS");
                    changed = true;
                } else if (!task.status.equals("saving") || leewayS == 0) {
                    exit(task, "halted");
                }
            }
            case "clear" -> {
                if (task != null && !task.onMachine()) {
                    tasks.remove(key);
                    changed = true;
                }
            }
            default -> throw new IllegalArgumentException(String.valueOf(order));
        }
    }

    private void start(String taskName, long attempt, String key) {
        lab.started(taskName);
        Job job = lab.job(taskName.substring(0, taskName.indexOf('/')));
        Task task = new Task(job, taskName, attempt);
        boolean busy = false;
        double vcpus = build.vcpus();
        double cards = build.cards();
        double ramGb = build.ramGb();
        for (Task other : tasks.values()) {
            if (other.onMachine()) {
                busy |= other.name.equals(taskName);
                vcpus -= other.job.amount("vcpus");
                cards -= other.job.amount("cards");
                ramGb -= other.job.amount("ramGb");
            }
        }
        tasks.put(key, task);
        if (job == null) {
            exit(task, "unknown");
        } else if (busy) {
            exit(task, "busy");
        } else if (job.amount("vcpus") > vcpus + 1e-6
                || job.amount("cards") > cards + 1e-6
                || job.amount("ramGb") > ramGb + 1e-6) {
            exit(task, "full");
        } else {
            boolean cached = images.containsKey((String) job.fields.get("bundle"));
            task.nextS = Record.now() + (cached ? 0 : job.amount("imageGb") / build.fetchGbPerS());
            changed = true;
        }
    }

    // ---- reports and commands

    private Map<String, Object> message() {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("rig", name);
        message.put("address", address);
        message.put("build", build.name());
        message.put("site", site);
        message.put("loaners", spot);
        message.put("stint", stint);
        message.put("tick", ++tick);
        message.put("baton", baton);
        message.put("recallS", null);
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = new LinkedHashMap<>();
            piece.put("piece", task.name);
            piece.put("try", task.attempt);
            piece.put("status", task.status);
            if (task.cause != null) {
                piece.put("cause", task.cause);
                piece.put("saved", task.saved);
            }
            pieces.add(piece);
        }
        message.put("pieces", pieces);
        return message;
    }

    private void raiseBaton(long seen) {
        if (seen > baton) {
            baton = seen;
            if (Record.now() - batonChangeS > lab.leaseS / 2) {
                batonChangeS = Record.now();
                changed = true;
            }
        }
    }

    private void report() {
        int node = random.nextInt(lab.controllers.size());
        while (!gone) {
            Map<String, Object> message;
            double sentS = Record.now();
            long session;
            synchronized (this) {
                changed = false;
                session = stint;
                message = message();
            }
            Http.Answer answer = Http.call("POST", lab.controllers.get(node).listen, "/agent/beat", message, 4);
            if (gone) {
                return;
            }
            if (answer.status() == 200) {
                synchronized (this) {
                    long token = Http.number(answer.body(), "baton", -1);
                    if (session == stint && token >= baton) {
                        raiseBaton(token);
                        answeredSentS = sentS;
                        answeredReports++;
                        lab.answeredReport(node);
                        Http.maps(answer.body().get("orders")).forEach(this::execute);
                    }
                }
                double nextS = sentS + lab.reportS * (0.75 + random.nextDouble() / 2);
                while (!gone && Record.now() < nextS && !(changed && Record.now() > sentS + 0.5)) {
                    Timing.sleep(0.01);
                }
                continue;
            }
            int foreman = answer.status() == 421 ? lab.indexOf((String) answer.body().get("foreman")) : -1;
            if (foreman >= 0 && foreman != node) {
                node = foreman;
                Timing.sleep(random.nextDouble() / 2);
            } else {
                node = (node + 1) % lab.controllers.size();
                Timing.sleep(1);
            }
        }
    }

    private synchronized Http.Answer handleDirect(Http.Call call) {
        if (gone) {
            return null;
        }
        if (call.path().equals("/show")) {
            return new Http.Answer(200, message());
        }
        if (!(call.body().get("baton") instanceof Number token) || !(call.body().get("stint") instanceof Number session)) {
            return new Http.Answer(400, Map.of());
        }
        if (token.longValue() < baton || session.longValue() != stint) {
            return new Http.Answer(409, message());
        }
        raiseBaton(token.longValue());
        Http.maps(call.body().get("orders")).forEach(this::execute);
        return new Http.Answer(200, message());
    }
}
