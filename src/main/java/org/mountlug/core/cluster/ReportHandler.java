package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;

/**
 * Handles workers' reports: what each proves about the attempts placed on its machine, and the commands for the response.
 * A report proves something only if it carries a fencing token of this term and is newer than all earlier reports by
 * (session, sequence).
 */
final class ReportHandler {
    private final Cluster cluster;
    private final CommandTokens tokens;
    private final double leaseS;

    ReportHandler(Cluster cluster, CommandTokens tokens, double leaseS) {
        this.cluster = cluster;
        this.tokens = tokens;
        this.leaseS = leaseS;
    }

    /**
     * Applies a worker's report and returns the commands for the response; null means that the worker has seen the fencing
     * token of a newer leader.
     *
     * @param mayStart whether the response may contain start commands
     */
    List<Command> handleReport(Report report, boolean mayStart, double nowS) {
        if (tokens.isOfLaterTerm(report.token())) {
            return null;
        }
        if (cluster.isMachineGone(report.machine())) {
            return List.of(); // a late report of a machine that is proven gone
        }
        Machine machine = cluster.machines.get(report.machine());
        if (machine == null) {
            machine = new Machine(report.machine(), nowS);
            cluster.addMachine(machine);
            cluster.addEvent(
                    "found machine of type " + report.machineType() + " in zone " + report.zone()
                            + (report.spot() ? ", spot" : ""),
                    machine.name);
        }
        if (!report.isNewerThan(machine.session, machine.sequence)) {
            // If only the response to a direct command has overtaken this report, the worker may still wait for the
            // response to it, which then renews its lease. A repeated report, or one that a later report has followed,
            // renews no lease.
            if (report.session() == machine.session && report.sequence() > machine.reportSequence) {
                machine.reportSequence = report.sequence();
                machine.lastResponseS = nowS;
            }
            return List.of(); // delayed in transit; a newer report was applied before
        }
        if (!machine.hasReported) {
            machine.recordFirstReport(nowS);
        }
        boolean wasInContact = machine.tokenConfirmed && !machine.unreachable;
        if (report.session() > machine.session && machine.sequence >= 0) {
            machine.unreachable = true;
        } else if (tokens.isOfThisTerm(report.token())
                && report.sequence() == machine.sequence + 1
                && nowS - machine.lastReportS < Constants.MAX_CONSECUTIVE_REPORT_GAP_S) {
            machine.unreachable = false;
        }
        machine.type = cluster.type(report.machineType());
        machine.zone = report.zone();
        machine.spot = report.spot();
        machine.address = report.address();
        if (nowS - machine.lastReportS > leaseS / 2) {
            machine.silenceEndedS = nowS;
        }
        machine.lastReportS = nowS;
        if (report.session() != machine.session) {
            machine.exitedAttempts.clear();
            machine.directStartsUnderToken.clear(); // commands of an earlier session have no effect
        }
        machine.session = report.session();
        machine.sequence = report.sequence();
        machine.reportSequence = report.sequence();
        if (!Double.isNaN(report.reclaimInS())) {
            if (Double.isNaN(machine.reclaimAtS)) {
                cluster.addEvent("reclaim announced in " + Math.round(report.reclaimInS()) + " s", machine.name);
            }
            machine.reclaimAtS = nowS + report.reclaimInS();
        }
        // After a report with an older token, an older leader's command may still take effect, so it proves nothing.
        machine.tokenConfirmed = tokens.isOfThisTerm(report.token());
        tokens.recordWorkerToken(machine, report.token());
        // No work could be placed on the machine until now, so it does not count as idle; otherwise machines that are
        // reachable again after a network partition would be returned.
        if (!wasInContact && machine.tokenConfirmed && !machine.unreachable) {
            machine.idleSinceS = nowS;
        }
        if (machine.tokenConfirmed && !machine.unreachable) {
            machine.outOfContactSinceS = Double.NaN;
        } else if (Double.isNaN(machine.outOfContactSinceS)) {
            machine.outOfContactSinceS = nowS;
        }
        machine.lastResponseS = nowS;
        if (!machine.tokenConfirmed) {
            return stopCommandsForCancelledJobs(machine, report);
        }
        return reconcileAttempts(machine, report, mayStart, nowS);
    }

    /**
     * Returns the commands for a worker that has not seen this leader's fencing token. Cancelled tasks must stop with the
     * first response, as that response also renews the worker lease and the leader may change again before the next one. A
     * stop names its attempt, and sending it proves nothing about the attempt.
     */
    private List<Command> stopCommandsForCancelledJobs(Machine machine, Report report) {
        List<Command> commands = new ArrayList<>();
        for (Report.AttemptStatus status : report.attempts()) {
            Placement placement = machine.placements.get(status.jobId() + "/" + status.task());
            if (placement == null
                    || placement.attempt != status.attempt()
                    || !placement.job.cancelled
                    || status.state() == AttemptState.EXITED) {
                continue;
            }
            commands.add(
                    new Command(Command.Verb.STOP, placement.taskName(), placement.attempt, placement.gracePeriodS));
        }
        return commands;
    }

    /** Applies the state that a report shows for a placed attempt. */
    void updateFromReport(
            Machine machine, Placement placement, Report.AttemptStatus status, String attemptKey, double nowS) {
        placement.reported = true;
        placement.state = status.state();
        if (status.state() == AttemptState.EXITED) {
            handleExit(machine, placement, status, attemptKey, nowS);
        } else if (status.state() == AttemptState.RUNNING && Double.isNaN(placement.runningSinceS)) {
            placement.runningSinceS = nowS;
            cluster.recordStart(placement);
            if (placement.job.spec.isService()) {
                placement.job.markChanged(placement.task, nowS, false); // users see how many replicas run
            }
            machine.cachedImages.remove(placement.job.spec.image());
            machine.cachedImages.add(placement.job.spec.image());
        }
    }

    private List<Command> reconcileAttempts(Machine machine, Report report, boolean mayStart, double nowS) {
        List<Command> commands = new ArrayList<>();
        Set<String> unplacedAttempts = reconcilePlacements(machine, report, commands, nowS);
        addForgetsAndOrphanStops(machine, report, unplacedAttempts, commands);
        if (mayStart) {
            addStarts(machine, report, commands);
        }
        if (!machine.isEmpty()) {
            machine.idleSinceS = nowS;
        }
        return commands;
    }

    /**
     * Applies what the report shows of the placements, and adds the stops of those that must stop. Returns the keys of the
     * reported attempts that no record places on the machine.
     */
    private Set<String> reconcilePlacements(Machine machine, Report report, List<Command> commands, double nowS) {
        Map<String, Report.AttemptStatus> reportedAttempts = new HashMap<>();
        for (Report.AttemptStatus status : report.attempts()) {
            reportedAttempts.put(Machine.attemptKey(status.jobId(), status.task(), status.attempt()), status);
        }
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            if (placement.session < machine.session) {
                cluster.recordLostAttempt(placement, nowS, 0, "new worker session");
                continue;
            }
            String attemptKey = Machine.attemptKey(placement.job.spec.id(), placement.task, placement.attempt);
            Report.AttemptStatus status = reportedAttempts.remove(attemptKey);
            if (status == null) {
                handleMissingAttempt(machine, placement, report, nowS);
                continue;
            }
            updateFromReport(machine, placement, status, attemptKey, nowS);
            if (status.state() != AttemptState.EXITED && placement.stopping) {
                commands.add(new Command(
                        Command.Verb.STOP, placement.taskName(), placement.attempt, placement.gracePeriodS));
            }
        }
        return reportedAttempts.keySet();
    }

    /** Adds commands to forget exited attempts, and stops of running attempts that no record places on the machine. */
    private void addForgetsAndOrphanStops(
            Machine machine, Report report, Set<String> unplacedAttempts, List<Command> commands) {
        machine.orphans.clear();
        machine.withheldForgets = 0;
        for (Report.AttemptStatus status : report.attempts()) {
            String attemptKey = Machine.attemptKey(status.jobId(), status.task(), status.attempt());
            String taskName = status.jobId() + "/" + status.task();
            if (status.state() == AttemptState.EXITED) {
                if (mayForget(machine, status, attemptKey)) {
                    machine.exitedAttempts.remove(attemptKey);
                    commands.add(new Command(Command.Verb.FORGET, taskName, status.attempt(), 0));
                }
            } else if (unplacedAttempts.contains(attemptKey)) {
                machine.orphans.put(attemptKey, status);
                commands.add(new Command(Command.Verb.STOP, taskName, status.attempt(), 0));
            }
        }
    }

    /**
     * Whether the worker may forget an exited attempt. If it forgot the attempt too early, its result could be lost, or a
     * repeated start could run it again.
     */
    private boolean mayForget(Machine machine, Report.AttemptStatus status, String attemptKey) {
        Machine.ExitedAttempt exited = machine.exitedAttempts.get(attemptKey);
        if (exited != null && !exited.isDurable() && cluster.jobs.get(status.jobId()) == exited.job()) {
            return false;
        }
        if (!tokens.allowForget(machine, attemptKey)) {
            machine.withheldForgets++;
            return false;
        }
        return true;
    }

    /** Adds the starts of placements that are durable and whose start was not sent since the last report. */
    private void addStarts(Machine machine, Report report, List<Command> commands) {
        for (Placement placement : machine.placements.values()) {
            if (placement.startReportSequence >= 0
                    || placement.reported
                    || placement.stopping
                    || placement.job.cancelled
                    || placement.session != machine.session) {
                continue;
            }
            if (!placement.job.isDurable(placement.task, placement.version)
                    || cluster.jobs.get(placement.job.spec.id()) != placement.job) {
                continue;
            }
            if (placement.standby && !canStartStandby(machine, placement)) {
                continue;
            }
            placement.standby = false;
            placement.startReportSequence = report.sequence();
            commands.add(new Command(Command.Verb.START, placement.taskName(), placement.attempt, 0));
        }
    }

    /** Whether the capacity that a standby placement waits for is free. */
    private static boolean canStartStandby(Machine machine, Placement placement) {
        return machine.type != null
                && machine.orphans.isEmpty()
                && placement.job.spec.request().fitsIn(machine.type.capacity().minus(machine.allocated()));
    }

    /** Turns standby placements whose capacity is free into ordinary ones, and drops those that have waited too long. */
    void updateStandbys(double nowS) {
        for (Machine machine : cluster.machines.values()) {
            for (Placement placement : new ArrayList<>(machine.placements.values())) {
                if (!placement.standby) {
                    continue;
                }
                if (canStartStandby(machine, placement)) {
                    placement.standby = false;
                } else if (nowS - placement.placedAtS > Constants.MAX_STANDBY_WAIT_S) {
                    cluster.removePlacement(placement); // its start was never sent
                    placement.job.markChanged(placement.task, nowS, false);
                }
            }
        }
    }

    /**
     * Handles a placed attempt that a newer report lacks. A start that was sent in a response to an earlier report can no
     * longer take effect, as workers discard late responses.
     */
    private void handleMissingAttempt(Machine machine, Placement placement, Report report, double nowS) {
        if (placement.reported) {
            // An unconfirmed start could run the attempt again only if the worker had forgotten it, which needs a
            // command.
            cluster.recordLostAttempt(placement, nowS, 0, "no longer reported");
        } else if (placement.startUnconfirmed) {
            // The report proves nothing about the unconfirmed start, but the response may deliver the same start sooner
            // than the direct command; see CommandHandler.mustWithholdResponse for a start that never takes effect.
            if (report.sequence() > placement.startReportSequence) {
                placement.startReportSequence = -1;
            }
        } else if (placement.stopping) {
            if (placement.job.isDurable(placement.task, placement.version)) {
                cluster.recordLostAttempt(placement, nowS, 0, "stopped before it started");
            }
        } else if (placement.startReportSequence >= 0 && report.sequence() > placement.startReportSequence) {
            // After one ignored start a response was probably lost. After two, responses do not reach the machine, and
            // the task must not wait any longer.
            if (++placement.ignoredStarts < Constants.MAX_IGNORED_STARTS) {
                placement.startReportSequence = -1; // sent again with this response
            } else {
                machine.unreachable = true;
                cluster.recordLostAttempt(placement, nowS, 0, "its start had no effect");
            }
        }
    }

    private void handleExit(
            Machine machine, Placement placement, Report.AttemptStatus status, String attemptKey, double nowS) {
        Job job = placement.job;
        if (job.spec.isService()) {
            cluster.recordLostAttempt(
                    placement,
                    nowS,
                    handleReplicaExit(machine, placement, status.cause(), nowS),
                    "replica exited " + status.cause());
        } else if (status.cause() == ExitCause.DONE) {
            cluster.removePlacement(placement);
            cluster.markCapacityFreed(false);
            cluster.recordCompletion(machine, placement, nowS);
            if (job.spec.isGang()) { // all tasks of a gang complete together
                job.doneTasks.set(0, job.spec.tasks());
                for (int firstTask = 0;
                        firstTask < job.spec.tasks();
                        firstTask = job.firstTaskOf(job.partOf(firstTask) + 1)) {
                    job.markChanged(firstTask, nowS, true);
                }
            } else {
                job.doneTasks.set(placement.task);
            }
            job.failuresByTask.remove(placement.task);
            cluster.recordSuccess(machine, job);
            job.markChanged(placement.task, nowS, job.isComplete());
        } else {
            double retryS = 0;
            if (status.cause() == ExitCause.ERROR) {
                int failures = job.failuresByTask.addTo(placement.task, 1) + 1;
                retryS = Math.min(Constants.MAX_TASK_RETRY_S, Constants.TASK_RETRY_BASE_S * Math.pow(2, failures - 1));
                cluster.recordFailure(machine, job, placement.attempt);
                if (job.failureHistory.isSuspected()) {
                    job.pausedUntilS = Math.max(job.pausedUntilS, nowS + job.failureHistory.retryDelayS());
                }
            } else if (status.cause() == ExitCause.FULL
                    || status.cause() == ExitCause.BUSY
                    || status.cause() == ExitCause.UNKNOWN) {
                retryS = Constants.REFUSED_START_RETRY_S;
            }
            cluster.recordLostAttempt(
                    placement, nowS, retryS, "exited " + status.cause() + (status.saved() ? ", saved" : ""));
        }
        machine.exitedAttempts.put(attemptKey, new Machine.ExitedAttempt(job, placement.task, job.version));
    }

    /**
     * Handles the exit of a replica, which has to run again, and on another machine unless a stop ended it. Returns the
     * seconds until its retry: none if the replica ran stably or exited for the first time, as the machine is then probably
     * at fault. A replica that keeps exiting early is delayed, so that it does not take the turn of other work, and so is a
     * refused start.
     */
    private double handleReplicaExit(Machine machine, Placement placement, ExitCause cause, double nowS) {
        Job job = placement.job;
        if (cause == ExitCause.STOPPED) {
            return 0;
        }
        job.avoidedMachineByTask.put(placement.task, machine.name);
        if (cause == ExitCause.FULL || cause == ExitCause.BUSY || cause == ExitCause.UNKNOWN) {
            return Constants.REFUSED_START_RETRY_S;
        }
        if (!Double.isNaN(placement.runningSinceS)
                && nowS - placement.runningSinceS > Constants.REPLICA_STABLE_AFTER_S) {
            job.failuresByTask.remove(placement.task);
            cluster.recordSuccess(machine, job);
        }
        int failures = job.failuresByTask.addTo(placement.task, 1) + 1;
        if (cause == ExitCause.ERROR) {
            cluster.recordFailure(machine, job, placement.attempt);
        }
        return failures < 2
                ? 0
                : Math.min(Constants.MAX_TASK_RETRY_S, Constants.TASK_RETRY_BASE_S * Math.pow(2, failures - 2));
    }
}
