package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.Constants;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;

/**
 * Handles commands that are sent directly to workers. Such a command may take effect late: a start that was not
 * acknowledged stays unconfirmed until a report shows the attempt or the worker's session ends.
 */
final class CommandHandler {
    private final Cluster cluster;
    private final CommandTokens tokens;
    private final ReportHandler reportHandler;

    CommandHandler(Cluster cluster, CommandTokens tokens, ReportHandler reportHandler) {
        this.cluster = cluster;
        this.tokens = tokens;
        this.reportHandler = reportHandler;
    }

    /**
     * Returns commands to be sent directly instead of in the response to the machine's next report, and marks them as sent:
     * stops, which free capacity that other work waits for, and starts of gangs, services and accelerator tasks.
     *
     * @param mayStart whether start commands may be sent; otherwise only cancelled jobs' tasks are stopped
     * @param nonUrgentStartsAllowed whether starts of all other tasks are sent directly, too, as capacity is
     *     idle until the next report
     */
    List<Command> takeDirectCommands(Machine machine, boolean mayStart, boolean nonUrgentStartsAllowed, double nowS) {
        if (!machine.tokenConfirmed || machine.unreachable || machine.address == null) {
            return List.of();
        }
        List<Command> commands = new ArrayList<>();
        for (Placement placement : machine.placements.values()) {
            if (placement.session != machine.session || cluster.jobs.get(placement.job.spec.id()) != placement.job) {
                continue;
            }
            if (placement.stopping
                    && placement.reported
                    && !placement.directStopSent
                    && placement.state != AttemptState.EXITED
                    && (mayStart || placement.job.cancelled)) {
                placement.directStopSent = true;
                commands.add(new Command(
                        Command.Verb.STOP, placement.taskName(), placement.attempt, placement.gracePeriodS));
            } else if (mayStart
                    && canSendStart(machine, placement)
                    && (nonUrgentStartsAllowed
                            || placement.job.spec.isGang()
                            || placement.job.spec.isService()
                            || placement.job.spec.request().gpus() > 0)) {
                placement.startUnconfirmed = true;
                placement.directStartSentS = nowS;
                machine.directStartsUnderToken.add(
                        Machine.attemptKey(placement.job.spec.id(), placement.task, placement.attempt));
                commands.add(new Command(Command.Verb.START, placement.taskName(), placement.attempt, 0));
            }
        }
        machine.directCommandsInFlight = !commands.isEmpty();
        return commands;
    }

    /** Records that the last direct commands to the machine were answered or timed out, whatever comes of them. */
    void endDirectCommands(Machine machine) {
        machine.directCommandsInFlight = false;
    }

    private boolean canSendStart(Machine machine, Placement placement) {
        return placement.startReportSequence < 0
                && !placement.startUnconfirmed
                && !placement.reported
                && !placement.stopping
                && !placement.standby
                && !placement.job.cancelled
                && Double.isNaN(placement.directStartSentS)
                && placement.session == machine.session
                && placement.job.isDurable(placement.task, placement.version);
    }

    /** Records that the worker did not execute these commands and never will. */
    void recordRefusedCommands(Machine machine, long session, List<Command> commands) {
        if (machine.session != session) {
            return;
        }
        for (Command command : commands) {
            Placement placement = machine.placements.get(command.taskName());
            // The command is sent again only in responses to reports. If it were sent directly again, a worker that
            // refuses connections would be called ten times a second.
            if (placement == null || placement.attempt != command.attempt() || command.verb() == Command.Verb.STOP) {
                continue;
            }
            placement.startUnconfirmed = false;
        }
    }

    /**
     * Applies the report that a worker returns in response to direct commands. It renews no worker lease. It proves only
     * which attempts exist: the start of an attempt that it lacks may still arrive with a response in transit.
     */
    void recordCommandResponse(Machine machine, Report report, List<Command> commands, double nowS) {
        if (tokens.isOfLaterTerm(report.token())
                || cluster.machines.get(machine.name) != machine
                || report.session() != machine.session) {
            return;
        }
        for (Command command : commands) {
            if (command.verb() != Command.Verb.START) {
                continue;
            }
            Placement placement = machine.placements.get(command.taskName());
            if (placement == null || placement.attempt != command.attempt()) {
                continue;
            }
            placement.startUnconfirmed = false;
            placement.reported = true;
        }
        if (!report.isNewerThan(machine.session, machine.sequence) || !tokens.isOfThisTerm(report.token())) {
            return;
        }
        machine.sequence = report.sequence();
        machine.lastReportS = nowS;
        for (Report.AttemptStatus status : report.attempts()) {
            Placement placement = machine.placements.get(status.jobId() + "/" + status.task());
            if (placement == null || placement.attempt != status.attempt()) {
                continue;
            }
            reportHandler.updateFromReport(
                    machine,
                    placement,
                    status,
                    Machine.attemptKey(status.jobId(), status.task(), status.attempt()),
                    nowS);
        }
    }

    /**
     * Whether reports of the machine must stay without a response, so that its worker lease expires: a start sent directly
     * to it was neither acknowledged nor reported, and only the end of the worker's session proves that it never takes
     * effect.
     */
    boolean mustWithholdResponse(String machineName, double nowS) {
        Machine machine = cluster.machines.get(machineName);
        if (machine == null) {
            return false;
        }
        for (Placement placement : machine.placements.values()) {
            if (placement.startUnconfirmed
                    && !placement.reported
                    && nowS - placement.directStartSentS > Constants.UNCONFIRMED_START_S) {
                return true;
            }
        }
        return false;
    }
}
