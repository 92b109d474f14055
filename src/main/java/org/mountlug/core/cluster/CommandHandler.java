package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.Constants;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.TaskState;

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
    List<Order> urgent(Machine m, boolean mayStart, boolean every, double nowS) {
        if (!m.synced || m.deaf || m.address == null) {
            return List.of();
        }
        List<Order> l = new ArrayList<>();
        for (Placement p : m.placed.values()) {
            if (p.session != m.session || cluster.jobs.get(p.job.spec.id()) != p.job) {
                continue;
            }
            if (p.stopping && p.seen && !p.stopSent && p.state != TaskState.EXITED && (mayStart || p.job.cancelled)) {
                p.stopSent = true;
                l.add(new Order(Order.Verb.STOP, p.name(), p.attempt, p.leewayS));
            } else if (mayStart
                    && startable(m, p)
                    && (every
                            || p.job.spec.gang()
                            || p.job.spec.service()
                            || p.job.spec.need().gpus() > 0)) {
                p.startAtLarge = true;
                p.sentS = nowS;
                m.atLarge.add(Machine.key(p.job.spec.id(), p.task, p.attempt));
                l.add(new Order(Order.Verb.START, p.name(), p.attempt, 0));
            }
        }
        return l;
    }

    private boolean startable(Machine m, Placement p) {
        return p.startSentIn < 0
                && !p.startAtLarge
                && !p.seen
                && !p.stopping
                && !p.standby
                && !p.job.cancelled
                && Double.isNaN(p.sentS)
                && p.session == m.session
                && p.job.durable(p.task, p.version);
    }

    /** Nothing of these orders was carried out, nor ever will be. */
    void refused(Machine m, long session, List<Order> orders) {
        if (m.session != session) {
            return;
        }
        for (Order o : orders) {
            Placement p = m.placed.get(o.task());
            // Not sent directly again, or a worker that refuses connections is called ten times a second; answers carry
            // it.
            if (p == null || p.attempt != o.attempt() || o.verb() == Order.Verb.STOP) {
                continue;
            }
            p.startAtLarge = false;
            m.atLarge.remove(Machine.key(p.job.spec.id(), p.task, p.attempt));
        }
    }

    /**
     * A worker's report as it comes back from orders sent directly to it. It renews no lease, and what it lacks may
     * still come by an answer on its way, so it only shows what is there.
     */
    void carriedOut(Machine m, Report r, List<Order> orders, double nowS) {
        if (r.token() > cluster.token() || cluster.machines.get(m.name) != m || r.session() != m.session) {
            return;
        }
        for (Order o : orders) {
            if (o.verb() != Order.Verb.START) {
                continue;
            }
            Placement p = m.placed.get(o.task());
            if (p == null || p.attempt != o.attempt()) {
                continue;
            }
            p.startAtLarge = false;
            p.seen = true;
            m.atLarge.remove(Machine.key(p.job.spec.id(), p.task, p.attempt));
        }
        if (!r.newerThan(m.session, m.sequence) || r.token() != cluster.token()) {
            return;
        }
        m.sequence = r.sequence();
        m.heardS = nowS;
        for (Report.Item i : r.tasks()) {
            Placement p = m.placed.get(i.job() + "/" + i.task());
            if (p == null || p.attempt != i.attempt()) {
                continue;
            }
            reports.shown(m, p, i, Machine.key(i.job(), i.task(), i.attempt()), nowS);
        }
    }

    /**
     * Whether the machine must not be answered, so that its lease runs out: a start sent to it has neither been
     * answered nor taken effect, and only the end of its session proves that it never will.
     */
    boolean unanswerable(String machine, double nowS) {
        Machine m = cluster.machines.get(machine);
        if (m == null || m.atLarge.isEmpty()) {
            return false;
        }
        for (Placement p : m.placed.values()) {
            if (p.startAtLarge && !p.seen && nowS - p.sentS > Constants.AT_LARGE_S) {
                return true;
            }
        }
        return false;
    }
}
