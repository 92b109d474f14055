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

/** Sends what must not wait for a machine's next report directly to its worker, at most one message a machine at a time. */
final class DirectCommandSender {
    private final LeaderTerm term;
    /** Machines with orders on their way. */
    private final Set<String> commanded = new HashSet<>();

    DirectCommandSender(LeaderTerm term) {
        this.term = term;
    }

    void send(double nowS) {
        // Stops of cancelled jobs leave without a proof of leading, too: no write to a state service that does not
        // serve us may be waited for, and a later leader's worker refuses them by their token.
        boolean proven = term.isLeaseHeld(nowS);
        for (Machine machine : term.cluster.machines.values()) {
            if (machine.placements.isEmpty() || commanded.contains(machine.name)) {
                continue;
            }
            if (commanded.size() >= Constants.MAX_DIRECT_COMMANDS) {
                return;
            }
            boolean anyStart = commanded.size() < Constants.MAX_NON_URGENT_DIRECT_COMMANDS;
            List<Command> orders = term.cluster.takeDirectCommands(machine, proven, anyStart, nowS);
            if (!orders.isEmpty()) {
                send(machine, orders);
            }
        }
    }

    private void send(Machine machine, List<Command> orders) {
        commanded.add(machine.name);
        long session = machine.session;
        term.environment
                .workerClients()
                .apply(machine.address)
                .call(
                        Methods.POST,
                        "/commands",
                        WorkerCodec.writeCommand(term.cluster.token(), session, orders),
                        Constants.COMMAND_TIMEOUT_MS,
                        answer -> {
                            commanded.remove(machine.name);
                            if (!term.hasEnded()) {
                                answered(machine, session, orders, answer);
                            }
                        });
    }

    private void answered(Machine machine, long session, List<Command> orders, PooledHttpClient.Response answer) {
        boolean reported = answer.status() == 200 || answer.status() == 409;
        Report report = reported ? WorkerCodec.readReport(answer.body()) : null;
        if (report != null && report.token() > term.cluster.token()) {
            term.depose(machine.name + " knows token " + report.token());
        } else if (answer.status() == 200) {
            if (report != null) {
                term.cluster.recordCommandResponse(machine, report, orders, term.nowS());
            }
        } else if (answer.status() == 409 || answer.status() == 400 || !answer.requestSent()) {
            term.cluster.recordRefusedCommands(machine, session, orders);
        }
        // Anything else may take effect yet: the starts stay at large.
    }
}
