package org.mountlug.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Report;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;

/** A machine of a {@link SimulatedCluster} and its worker, which keeps the protocol of workers. */
final class SimulatedWorker {
    private final SimulatedCluster cluster;
    final String name;
    /** The address to which direct commands are sent. */
    String address;

    final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();
    long session = 1;
    long sequence;
    long token;
    double leaseStartS;
    int controllerIndex;
    boolean terminated;
    final double rentedAtS;
    final double bootDurationS;
    /** Whether the machine comes up at the end of its boot time; false if never. */
    boolean willBoot;

    double crashedAtS = Double.POSITIVE_INFINITY;
    /** When the cloud reclaims the machine, which its reports announce; {@code NaN} if it is not to be reclaimed. */
    double reclaimedAtS = Double.NaN;
    /** Whether every task that runs here fails. */
    boolean failsAllTasks;
    /** Factor on the run time of tasks here. */
    double slowdownFactor = 1;
    /** Whether inbound traffic is lost: reports leave, but neither responses nor direct commands arrive. */
    boolean inboundBlocked;
    /** Whether the machine is cut off from all controllers. */
    boolean disconnected;
    /** Whether reports are lost while direct commands arrive. */
    boolean reportsBlocked;
    /** Whether the machine is in a zone that is cut off from all other zones. */
    boolean inIsolatedZone;

    final String zone;
    /** End of a hang in simulated seconds. While the machine hangs, tasks, reports and incoming messages wait. */
    double hungUntilS;
    /** Seconds by which reports are delayed on their way; responses are not. */
    double reportDelayS;
    /** Whether a report reached the leader after this worker had responded to a later direct command. */
    boolean reportOvertaken;

    private long lastDirectSequence;
    /** All reports sent, for tests that replay them. */
    final List<Report> sentReports = new ArrayList<>();

    int startCount;
    /** Whether {@link ChangeDrivenReports} sends the reports of this worker. */
    boolean reportLoopStarted;
    /** The cause with which starts are refused; null if they are accepted. */
    ExitCause refusalCause;

    SimulatedWorker(SimulatedCluster cluster, String name, String zone) {
        this.cluster = cluster;
        this.name = name;
        this.address = name;
        this.zone = zone;
        this.rentedAtS = cluster.nowS;
        this.bootDurationS = cluster.machineBootS * cluster.bootSlowdownFactor;
        this.leaseStartS = rentedAtS + bootDurationS;
    }

    boolean reaches(SimulatedCluster.ControllerProcess process) {
        return !disconnected && !process.cutFromWorkers && inIsolatedZone == process.inIsolatedZone;
    }

    /** Returns tasks that have not exited; none after the lease's end, as a hung worker kills them when it goes on. */
    List<SimulatedTask> activeTasks() {
        if (terminated || tasks.isEmpty() || cluster.nowS - leaseStartS > cluster.workerLeaseS + 0.1) {
            return List.of();
        }
        return tasks.values().stream()
                .filter(task -> task.state != AttemptState.EXITED)
                .toList();
    }

    /** Ends the machine with all its tasks; the cloud's machine list shows the failure later. */
    void crash() {
        terminate();
        crashedAtS = cluster.nowS;
    }

    void terminate() {
        terminated = true;
        tasks.clear();
    }

    /** Kills all tasks if the worker lease has ended, and advances running tasks; runs ten times a second. */
    void advanceTasks() {
        if (terminated) {
            return;
        }
        if (hungUntilS > cluster.nowS) {
            cluster.schedule(hungUntilS - cluster.nowS, this::advanceTasks);
            return;
        }
        if (cluster.nowS - leaseStartS > cluster.workerLeaseS) {
            tasks.clear();
            session++;
            leaseStartS = cluster.nowS;
        }
        boolean changed = false;
        for (SimulatedTask task : tasks.values()) {
            if (task.state == AttemptState.WAITING_FOR_GANG && isGangComplete(task)) {
                task.state = AttemptState.RUNNING;
            }
            if (task.state != AttemptState.RUNNING) {
                continue;
            }
            task.elapsedRunS += 0.1 / slowdownFactor;
            boolean fails = failsAllTasks || cluster.failingJobs.contains(task.jobId);
            boolean isService = cluster.services.contains(task.jobId);
            if (fails
                    || task.elapsedRunS >= cluster.taskDurationS && (!isService || cluster.replicaExitCause != null)) {
                task.state = AttemptState.EXITED;
                task.cause = fails ? ExitCause.ERROR : isService ? cluster.replicaExitCause : ExitCause.DONE;
                if (task.cause == ExitCause.DONE) {
                    cluster.recordCompletion(task.jobId, task.index);
                }
                changed = true;
            }
        }
        cluster.schedule(0.1, this::advanceTasks);
    }

    /** Whether all tasks of the gang are on machines with the same attempt number. */
    private boolean isGangComplete(SimulatedTask task) {
        int presentTasks = 0;
        for (SimulatedWorker worker : cluster.workers.values()) {
            for (SimulatedTask other : worker.tasks.values()) {
                if (other.jobId.equals(task.jobId)
                        && other.attempt == task.attempt
                        && other.state != AttemptState.EXITED) {
                    presentTasks++;
                }
            }
        }
        return presentTasks >= cluster.taskCounts.get(task.jobId);
    }

    Report createReport() {
        List<Report.AttemptStatus> attempts = new ArrayList<>();
        for (SimulatedTask task : tasks.values()) {
            attempts.add(new Report.AttemptStatus(task.jobId, task.index, task.attempt, task.state, task.cause, false));
        }
        double reclaimInS = reclaimedAtS - cluster.nowS;
        return new Report(name, name, "small", zone, false, session, ++sequence, token, reclaimInS, attempts);
    }

    /** Sends a report to the current controller; moves on to the next controller if it cannot be reached. */
    void sendReport() {
        if (terminated) {
            return;
        }
        if (hungUntilS > cluster.nowS) {
            // After the hang, the lease is checked before a report is sent.
            cluster.schedule(hungUntilS - cluster.nowS + 0.001, this::sendReport);
            return;
        }
        if (cluster.reportSender != null) {
            cluster.reportSender.accept(this);
            return;
        }
        SimulatedCluster.ControllerProcess process = cluster.controllers.get(controllerIndex);
        if (reportsBlocked || !reaches(process) || !process.up) {
            reportToNextController(reportsBlocked || !reaches(process) ? 5 : 1);
            return;
        }
        Report report = createReport();
        sentReports.add(report);
        double sentAtS = cluster.nowS;
        cluster.schedule(0.002 + reportDelayS, () -> {
            reportOvertaken |= lastDirectSequence > report.sequence() && process.up && process.controller.isLeading();
            if (process.pausedUntilS > cluster.nowS) {
                // The report waits in the socket; when it is read, the worker no longer waits for a response.
                cluster.schedule(process.pausedUntilS - cluster.nowS, () -> {
                    if (process.up) {
                        process.controller.handleReport(report);
                    }
                });
                cluster.schedule(5, () -> reportToNextController(0));
                return;
            }
            Controller.ReportResponse response = process.up ? process.controller.handleReport(report) : null;
            if (inboundBlocked) {
                cluster.schedule(5, () -> reportToNextController(0));
            } else {
                cluster.schedule(0.002, () -> handleReportResponse(response, sentAtS, report.session()));
            }
        });
    }

    private void reportToNextController(double delayS) {
        controllerIndex = (controllerIndex + 1) % cluster.controllers.size();
        cluster.schedule(delayS, this::sendReport);
    }

    /** Handles the response to a report sent in {@code reportSession}; null if the request failed. */
    void handleReportResponse(Controller.ReportResponse response, double sentAtS, long reportSession) {
        if (terminated) {
            return;
        }
        if (hungUntilS > cluster.nowS) {
            cluster.schedule(
                    hungUntilS - cluster.nowS + 0.001,
                    () -> handleReportResponse(cluster.nowS - sentAtS > 4 ? null : response, sentAtS, reportSession));
            return;
        }
        if (response instanceof Controller.ReportResponse.Commands commands) {
            if (reportSession == session && commands.token() >= token) {
                token = commands.token();
                leaseStartS = Math.max(leaseStartS, sentAtS);
                for (Command command : commands.commands()) {
                    executeCommand(command);
                }
            }
            cluster.schedule(commands.commands().isEmpty() ? 2 : 0.5, this::sendReport);
        } else if (response instanceof Controller.ReportResponse.NotLeader notLeader
                && notLeader.leader() != null
                && !notLeader.leader().equals(cluster.controllers.get(controllerIndex).label)) {
            for (int i = 0; i < cluster.controllers.size(); i++) {
                if (cluster.controllers.get(i).label.equals(notLeader.leader())) {
                    controllerIndex = i;
                }
            }
            cluster.schedule(0.2, this::sendReport);
        } else {
            reportToNextController(1);
        }
    }

    /** Handles direct commands; refuses those with a lower token than seen before or for another session. */
    void handleCommands(Map<String, Object> body, Consumer<PooledHttpClient.Response> then) {
        if (terminated) {
            return;
        }
        if (hungUntilS > cluster.nowS) {
            cluster.schedule(hungUntilS - cluster.nowS + 0.001, () -> handleCommands(body, then));
            return;
        }
        boolean accepted = Fields.getLong(body, "baton", 0) >= token && Fields.getLong(body, "stint", 0) == session;
        if (accepted) {
            token = Fields.getLong(body, "baton", 0);
            for (Object entry : Fields.getList(body, "orders")) {
                Map<String, Object> command = Fields.asMap(entry);
                Command.Verb verb =
                        switch (Fields.getString(command, "verb", "")) {
                            case "start" -> Command.Verb.START;
                            case "kill" -> Command.Verb.STOP;
                            default -> Command.Verb.FORGET;
                        };
                executeCommand(new Command(
                        verb,
                        Fields.getString(command, "piece"),
                        Fields.getLong(command, "try", 0),
                        Fields.getDouble(command, "leewayS", 0)));
            }
        }
        Report report = createReport();
        lastDirectSequence = report.sequence();
        then.accept(new PooledHttpClient.Response(accepted ? 200 : 409, reportMessage(report), true));
    }

    /** Returns the report in its form on the wire. */
    Map<String, Object> reportMessage(Report report) {
        List<Object> pieces = new ArrayList<>();
        for (Report.AttemptStatus attempt : report.attempts()) {
            boolean waitsForGang = attempt.state() == AttemptState.WAITING_FOR_GANG;
            String cause = attempt.cause() == ExitCause.STOPPED
                    ? "halted"
                    : attempt.cause().name().toLowerCase(java.util.Locale.ROOT);
            pieces.add(Fields.orderedMap(
                    "piece",
                    attempt.jobId() + "/" + attempt.task(),
                    "try",
                    attempt.attempt(),
                    "status",
                    attempt.state() == AttemptState.EXITED ? "exited" : waitsForGang ? "gathering" : "running",
                    "cause",
                    cause));
        }
        return Fields.orderedMap(
                "rig", name,
                "address", address,
                "build", "small",
                "site", zone,
                "loaners", false,
                "stint", report.session(),
                "tick", report.sequence(),
                "baton", token,
                "pieces", pieces);
    }

    /** Executes a command and checks that the start, if it is one, breaks no guarantee. */
    void executeCommand(Command command) {
        int slash = command.taskName().lastIndexOf('/');
        String job = command.taskName().substring(0, slash);
        int index = Integer.parseInt(command.taskName().substring(slash + 1));
        String key = command.taskName() + "#" + command.attempt();
        SimulatedTask task = tasks.get(key);
        switch (command.verb()) {
            case START -> {
                if (task != null) {
                    return;
                }
                cluster.checkStart(this, job, index, command);
                startCount++;
                task = new SimulatedTask(job, index, command.attempt());
                if (refusalCause != null) {
                    task.state = AttemptState.EXITED;
                    task.cause = refusalCause;
                } else if (cluster.gangs.getOrDefault(job, false)) {
                    task.state = AttemptState.WAITING_FOR_GANG;
                }
                tasks.put(key, task);
            }
            case STOP -> {
                if (task != null && task.state != AttemptState.EXITED) {
                    task.state = AttemptState.EXITED;
                    task.cause = ExitCause.STOPPED;
                }
            }
            case FORGET -> {
                if (task != null && task.state == AttemptState.EXITED) {
                    tasks.remove(key);
                }
            }
        }
    }
}
