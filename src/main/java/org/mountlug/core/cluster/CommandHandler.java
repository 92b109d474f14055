package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.Constants;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;

/**
 * Orders that are sent directly to workers. What is sent there may take effect late: a start that nobody has answered is at
 * large until it is seen, or its session ends.
 */
final class CommandHandler {
    private final Cluster cluster;
    private final ReportHandler reports;

    CommandHandler(Cluster cluster, ReportHandler reports) {
        this.cluster = cluster;
        this.reports = reports;
    }

    /**
     * Orders that are worth a message of their own instead of waiting for the machine's next report: stops, which free
     * room that somebody waits for, and starts of work that is waited for by the second, or with {@code every} any start, as a
     * slot that waits for a report is idle. Marks them as sent.
     */
    List<Command> takeDirectCommands(Machine m, boolean mayStart, boolean allStarts, double nowS) {
        if (!m.tokenConfirmed || m.unreachable || m.address == null) {
            return List.of();
        }
        List<Command> l = new ArrayList<>();
        for (Placement p : m.placements.values()) {
            if (p.session != m.session || cluster.jobs.get(p.job.spec.id()) != p.job) {
                continue;
            }
            if (p.stopping
                    && p.reported
                    && !p.directStopSent
                    && p.state != AttemptState.EXITED
                    && (mayStart || p.job.cancelled)) {
                p.directStopSent = true;
                l.add(new Command(Command.Verb.STOP, p.taskName(), p.attempt, p.gracePeriodS));
            } else if (mayStart
                    && startable(m, p)
                    && (allStarts
                            || p.job.spec.isGang()
                            || p.job.spec.isService()
                            || p.job.spec.request().gpus() > 0)) {
                p.startUnconfirmed = true;
                p.directStartSentS = nowS;
                m.unconfirmedStarts.add(Machine.attemptKey(p.job.spec.id(), p.task, p.attempt));
                l.add(new Command(Command.Verb.START, p.taskName(), p.attempt, 0));
            }
        }
        return l;
    }

    private boolean startable(Machine m, Placement p) {
        return p.startReportSequence < 0
                && !p.startUnconfirmed
                && !p.reported
                && !p.stopping
                && !p.standby
                && !p.job.cancelled
                && Double.isNaN(p.directStartSentS)
                && p.session == m.session
                && p.job.isDurable(p.task, p.version);
    }

    /** Nothing of these orders was carried out, nor ever will be. */
    void recordRefusedCommands(Machine m, long session, List<Command> orders) {
        if (m.session != session) {
            return;
        }
        for (Command o : orders) {
            Placement p = m.placements.get(o.taskName());
            // Not sent directly again, or a worker that refuses connections is called ten times a second; answers carry
            // it.
            if (p == null || p.attempt != o.attempt() || o.verb() == Command.Verb.STOP) {
                continue;
            }
            p.startUnconfirmed = false;
            m.unconfirmedStarts.remove(Machine.attemptKey(p.job.spec.id(), p.task, p.attempt));
        }
    }

    /**
     * A worker's report as it comes back from orders sent directly to it. It renews no lease, and what it lacks may
     * still come by an answer on its way, so it only shows what is there.
     */
    void recordCommandResponse(Machine m, Report r, List<Command> orders, double nowS) {
        if (r.token() > cluster.token() || cluster.machines.get(m.name) != m || r.session() != m.session) {
            return;
        }
        for (Command o : orders) {
            if (o.verb() != Command.Verb.START) {
                continue;
            }
            Placement p = m.placements.get(o.taskName());
            if (p == null || p.attempt != o.attempt()) {
                continue;
            }
            p.startUnconfirmed = false;
            p.reported = true;
            m.unconfirmedStarts.remove(Machine.attemptKey(p.job.spec.id(), p.task, p.attempt));
        }
        if (!r.isNewerThan(m.session, m.sequence) || r.token() != cluster.token()) {
            return;
        }
        m.sequence = r.sequence();
        m.lastReportS = nowS;
        for (Report.AttemptStatus i : r.attempts()) {
            Placement p = m.placements.get(i.job() + "/" + i.task());
            if (p == null || p.attempt != i.attempt()) {
                continue;
            }
            reports.updateFromReport(m, p, i, Machine.attemptKey(i.job(), i.task(), i.attempt()), nowS);
        }
    }

    /**
     * Whether the machine must not be answered, so that its lease runs out: a start sent to it has neither been
     * answered nor taken effect, and only the end of its session proves that it never will.
     */
    boolean mustWithholdResponse(String machine, double nowS) {
        Machine m = cluster.machines.get(machine);
        if (m == null || m.unconfirmedStarts.isEmpty()) {
            return false;
        }
        for (Placement p : m.placements.values()) {
            if (p.startUnconfirmed && !p.reported && nowS - p.directStartSentS > Constants.UNCONFIRMED_START_S) {
                return true;
            }
        }
        return false;
    }
}
