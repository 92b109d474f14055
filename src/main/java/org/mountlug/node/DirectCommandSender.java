package org.mountlug.node;

import io.undertow.util.Methods;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.agent.WorkerCodec;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Report;
import org.mountlug.wire.PooledHttpClient;

/**
 * Sends urgent commands directly to workers instead of in the response to their next report, with at most one message in
 * flight for each machine.
 */
final class DirectCommandSender {
    private final LeaderTerm term;
    /** Names of the machines whose worker has not answered its last commands yet. */
    private final Set<String> machinesWithCommandsInFlight = new HashSet<>();

    DirectCommandSender(LeaderTerm term) {
        this.term = term;
    }

    /** Sends the commands that are due now, up to the limit of messages in flight. */
    void send(double nowS) {
        // Stops of cancelled jobs are sent even if the leader lease is not known to be held: they must not wait for a
        // state service that does not answer, and a worker that follows a later leader rejects them by their token.
        boolean leaseHeld = term.isLeaseHeld(nowS);
        for (Machine machine : term.cluster.machines.values()) {
            if (machine.placements.isEmpty() || machinesWithCommandsInFlight.contains(machine.name)) {
                continue;
            }
            if (machinesWithCommandsInFlight.size() >= Constants.MAX_DIRECT_COMMANDS_IN_FLIGHT) {
                return;
            }
            boolean nonUrgentStartsAllowed =
                    machinesWithCommandsInFlight.size() < Constants.MAX_NON_URGENT_DIRECT_COMMANDS;
            List<Command> commands = term.cluster.takeDirectCommands(machine, leaseHeld, nonUrgentStartsAllowed, nowS);
            if (!commands.isEmpty()) {
                send(machine, commands);
            }
        }
    }

    private void send(Machine machine, List<Command> commands) {
        machinesWithCommandsInFlight.add(machine.name);
        long session = machine.session;
        term.environment
                .workerClients()
                .apply(machine.address)
                .call(
                        Methods.POST,
                        "/commands",
                        WorkerCodec.writeDirectCommands(term.cluster.token(), session, commands),
                        Constants.COMMAND_TIMEOUT_MS,
                        response -> {
                            machinesWithCommandsInFlight.remove(machine.name);
                            if (!term.hasEnded()) {
                                handleResponse(machine, session, commands, response);
                            }
                        });
    }

    private void handleResponse(
            Machine machine, long session, List<Command> commands, PooledHttpClient.Response response) {
        boolean hasReport = response.status() == 200 || response.status() == 409;
        Report report = hasReport ? WorkerCodec.readReport(response.body()) : null;
        if (report != null && report.token() > term.cluster.token()) {
            term.depose("machine " + machine.name + " knows the higher token " + report.token());
        } else if (response.status() == 200) {
            if (report != null) {
                term.cluster.recordCommandResponse(machine, report, commands, term.nowS());
            }
        } else if (response.status() == 409 || response.status() == 400 || !response.requestSent()) {
            term.cluster.recordRefusedCommands(machine, session, commands);
        }
        // After any other response the commands may still take effect, so their starts stay unconfirmed.
    }
}
