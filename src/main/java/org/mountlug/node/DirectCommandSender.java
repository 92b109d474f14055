package org.mountlug.node;

import io.undertow.util.Methods;
import java.util.List;
import org.mountlug.Constants;
import org.mountlug.agent.WorkerCodec;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Report;
import org.mountlug.wire.PooledHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends urgent commands directly to workers instead of in the response to their next report, with at most one message in
 * flight for each machine.
 */
final class DirectCommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);

    private final LeaderTerm term;
    private final Metrics metrics;
    /** Number of messages that workers have not answered yet. */
    private int messagesInFlight;

    /** A message with direct commands, as it was sent. */
    private record Message(Machine machine, long token, long session, List<Command> commands) {
        List<Command> starts() {
            return commands.stream()
                    .filter(command -> command.verb() == Command.Verb.START)
                    .toList();
        }
    }

    DirectCommandSender(LeaderTerm term, Metrics metrics) {
        this.term = term;
        this.metrics = metrics;
    }

    /** Sends the commands that are due now, up to the limit of messages in flight. */
    void send(double nowS) {
        // Stops of cancelled jobs are sent even if the leader lease is not known to be held: they must not wait for a
        // state service that does not answer, and a worker that follows a later leader rejects them by their token.
        boolean leaseHeld = term.isLeaseHeld(nowS);
        for (Machine machine : term.cluster.machines.values()) {
            if (machine.placements.isEmpty() || term.cluster.hasDirectCommandsInFlight(machine)) {
                continue;
            }
            if (messagesInFlight >= Constants.MAX_DIRECT_COMMANDS_IN_FLIGHT) {
                return;
            }
            boolean nonUrgentStartsAllowed = messagesInFlight < Constants.MAX_NON_URGENT_DIRECT_COMMANDS;
            List<Command> commands = term.cluster.takeDirectCommands(machine, leaseHeld, nonUrgentStartsAllowed, nowS);
            if (!commands.isEmpty()) {
                send(new Message(machine, term.cluster.commandToken(machine.name), machine.session, commands));
            }
        }
    }

    private void send(Message message) {
        messagesInFlight++;
        metrics.countDirectStarts(message.starts().size());
        term.environment
                .workerClients()
                .apply(message.machine.address)
                .call(
                        Methods.POST,
                        "/commands",
                        WorkerCodec.writeDirectCommands(message.token, message.session, message.commands),
                        Constants.COMMAND_TIMEOUT_MS,
                        response -> {
                            messagesInFlight--;
                            if (!term.hasEnded()) {
                                handleResponse(message, response);
                            }
                        });
    }

    private void handleResponse(Message message, PooledHttpClient.Response response) {
        Machine machine = message.machine;
        term.cluster.endDirectCommands(machine);
        boolean hasReport = response.status() == 200 || response.status() == 409;
        Report report = hasReport ? WorkerCodec.readReport(response.body()) : null;
        logResponse(message, response, report);
        if (report != null && term.cluster.isOfLaterTerm(report.token())) {
            term.depose("machine " + machine.name + " knows the higher token " + report.token());
        } else if (response.status() == 200) {
            if (report != null) {
                term.cluster.recordCommandResponse(machine, report, message.commands, term.nowS());
            }
        } else if (response.status() == 409 || response.status() == 400 || !response.requestSent()) {
            recordRefusal(message, response, report);
        } else {
            // The commands may still take effect, so their starts stay unconfirmed.
            metrics.countUnansweredDirectStarts(message.starts().size());
        }
    }

    private void recordRefusal(Message message, PooledHttpClient.Response response, Report report) {
        term.cluster.recordRefusedCommands(message.machine, message.session, message.commands);
        metrics.countRefusedDirectStarts(message.starts().size());
        String reason = response.requestSent() ? "status " + response.status() : "no connection";
        if (report != null) {
            reason += ", the worker knows token " + report.token() + " and session " + report.session();
        }
        for (Command start : message.starts()) {
            term.cluster.addEvent(
                    "direct starts refused, " + reason,
                    start.taskName() + " attempt " + start.attempt() + " on " + message.machine.name + ", token "
                            + message.token + ", session " + message.session);
        }
    }

    private static void logResponse(Message message, PooledHttpClient.Response response, Report report) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "directly to {}, session {}, token {}: {}; status {}, worker's token {}",
                    message.machine.name,
                    message.session,
                    message.token,
                    Command.describe(message.commands),
                    response.status(),
                    report == null ? "unknown" : report.token());
        }
    }
}
