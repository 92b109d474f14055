package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.model.Cause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.TaskState;

/**
 * Workers' reports: what each proves of the attempts that are placed there, and what to answer. A report counts as proof
 * only if it carries the leader's token and is newer than all before by (session, sequence).
 */
final class ReportHandler {
    private final Cluster cluster;
    private final double leaseS;

    ReportHandler(Cluster cluster, double leaseS) {
        this.cluster = cluster;
        this.leaseS = leaseS;
    }

    /** Takes in a worker's report and says what to answer; null means the reporter knows a newer leader than us. */
    List<Order> report(Report r, boolean mayStart, double nowS) {
        if (r.token() > cluster.token()) {
            return null;
        }
        if (cluster.departed(r.machine())) {
            return List.of(); // a late word of a machine that was returned
        }
        Machine m = cluster.machines.get(r.machine());
        if (m == null) {
            m = new Machine(r.machine(), nowS);
            cluster.added(m);
            cluster.event("found " + r.type() + " in " + r.zone() + (r.spot() ? " spot" : ""), m.name);
        }
        if (!r.newerThan(m.session, m.sequence)) {
            // Overtaken by the answer to orders sent directly to the worker, it may still be the one report that it
            // waits
            // for, and then what we answer renews its lease. A copy of a report that we had is no such thing, nor is
            // one
            // that a later report has followed.
            if (r.session() == m.session && r.sequence() > m.reportSequence) {
                m.reportSequence = r.sequence();
                m.answeredS = nowS;
            }
            return List.of(); // held back on its way: as old as its sequence
        }
        if (!m.up) {
            m.firstHeard(nowS);
        }
        boolean served = m.synced && !m.deaf;
        if (r.session() > m.session && m.sequence >= 0) {
            m.deaf = true;
        } else if (r.token() == cluster.token()
                && r.sequence() == m.sequence + 1
                && nowS - m.heardS < Constants.STAYED_S) {
            m.deaf = false;
        }
        m.type = cluster.type(r.type());
        m.zone = r.zone();
        m.spot = r.spot();
        m.address = r.address();
        if (nowS - m.heardS > leaseS / 2) {
            m.gapS = nowS;
        }
        m.heardS = nowS;
        if (r.session() != m.session) {
            m.ended.clear();
            m.atLarge.clear(); // a command names its session
        }
        m.session = r.session();
        m.sequence = r.sequence();
        m.reportSequence = r.sequence();
        if (!Double.isNaN(r.recallS())) {
            if (Double.isNaN(m.takenS)) {
                cluster.event("notice, taken in " + Math.round(r.recallS()) + " s", m.name);
            }
            m.takenS = nowS + r.recallS();
        }
        // A report under an older cluster.token() may be followed by an older leader's word; it proves nothing.
        m.synced = r.token() == cluster.token();
        // Nothing could be given to it until now, so it has not been idle; else what comes back from a cut is returned.
        if (!served && m.synced && !m.deaf) {
            m.idleSinceS = nowS;
        }
        if (m.synced && !m.deaf) {
            m.unheardSinceS = Double.NaN;
        } else if (Double.isNaN(m.unheardSinceS)) {
            m.unheardSinceS = nowS;
        }
        m.answeredS = nowS;
        if (!m.synced) {
            return stops(m, r);
        }
        return settle(m, r, mayStart, nowS);
    }

    /**
     * What can be said to a worker that has not seen our cluster.token(): cancelled tasks stop with the first answer, as the same
     * answer renews their lease and leaders may change again before the next. A stop names an attempt and proves nothing.
     */
    private List<Order> stops(Machine m, Report r) {
        List<Order> orders = new ArrayList<>();
        for (Report.Item i : r.tasks()) {
            Placement p = m.placed.get(i.job() + "/" + i.task());
            if (p == null || p.attempt != i.attempt() || !p.job.cancelled || i.state() == TaskState.EXITED) {
                continue;
            }
            orders.add(new Order(Order.Verb.STOP, p.name(), p.attempt, p.leewayS));
        }
        return orders;
    }

    /** Takes in what a report shows of an attempt that is placed there. */
    void shown(Machine m, Placement p, Report.Item i, String key, double nowS) {
        p.seen = true;
        p.state = i.state();
        if (i.state() == TaskState.EXITED) {
            ended(m, p, i, key, nowS);
        } else if (i.state() == TaskState.RUNNING && Double.isNaN(p.runningS)) {
            p.runningS = nowS;
            cluster.started(p);
            if (p.job.spec.service()) {
                p.job.touch(p.task, nowS, false); // its user is told how many run
            }
            m.images.remove(p.job.spec.image());
            m.images.add(p.job.spec.image());
        }
    }

    private List<Order> settle(Machine m, Report r, boolean mayStart, double nowS) {
        List<Order> orders = new ArrayList<>();
        Map<String, Report.Item> shown = new HashMap<>();
        for (Report.Item i : r.tasks()) {
            shown.put(Machine.key(i.job(), i.task(), i.attempt()), i);
        }
        m.strays.clear();
        for (Placement p : new ArrayList<>(m.placed.values())) {
            if (p.session < m.session) {
                cluster.gone(p, nowS, 0, "new session");
                continue;
            }
            String key = Machine.key(p.job.spec.id(), p.task, p.attempt);
            Report.Item i = shown.remove(key);
            if (i == null) {
                absent(m, p, r, nowS);
                continue;
            }
            shown(m, p, i, key, nowS);
            if (i.state() != TaskState.EXITED && p.stopping) {
                orders.add(new Order(Order.Verb.STOP, p.name(), p.attempt, p.leewayS));
            }
        }
        for (Report.Item i : r.tasks()) {
            String key = Machine.key(i.job(), i.task(), i.attempt());
            String name = i.job() + "/" + i.task();
            if (i.state() == TaskState.EXITED) {
                Machine.Ended e = m.ended.get(key);
                // Forgetting early would let a repeated start run it again, or lose the result.
                // A start still at large would run it once more if it were forgotten.
                if (m.atLarge.contains(key)) {
                    continue;
                }
                if (e == null || e.durable() || cluster.jobs.get(i.job()) != e.job()) {
                    m.ended.remove(key);
                    orders.add(new Order(Order.Verb.FORGET, name, i.attempt(), 0));
                }
            } else if (shown.containsKey(key)) {
                m.strays.put(key, i);
                orders.add(new Order(Order.Verb.STOP, name, i.attempt(), 0));
            }
        }
        if (mayStart) {
            for (Placement p : m.placed.values()) {
                if (p.startSentIn >= 0 || p.seen || p.stopping || p.job.cancelled || p.session != m.session) {
                    continue;
                }
                if (!p.job.durable(p.task, p.version) || cluster.jobs.get(p.job.spec.id()) != p.job) {
                    continue;
                }
                if (p.standby && !mayBegin(m, p)) {
                    continue;
                }
                p.standby = false;
                p.startSentIn = r.sequence();
                orders.add(new Order(Order.Verb.START, p.name(), p.attempt, 0));
            }
        }
        if (!m.empty()) {
            m.idleSinceS = nowS;
        }
        return orders;
    }

    /** Whether what a standby waited for has ended. */
    private static boolean mayBegin(Machine m, Placement p) {
        return m.type != null
                && m.strays.isEmpty()
                && p.job.spec.need().fitsIn(m.type.size().minus(m.used()));
    }

    /** Standbys whose room has come free become ordinary placements; those that waited too long are given up. */
    void reviewStandbys(double nowS) {
        for (Machine m : cluster.machines.values()) {
            for (Placement p : new ArrayList<>(m.placed.values())) {
                if (!p.standby) {
                    continue;
                }
                if (mayBegin(m, p)) {
                    p.standby = false;
                } else if (nowS - p.sinceS > Constants.STANDBY_MAX_S) {
                    cluster.drop(p); // its start never left
                    p.job.touch(p.task, nowS, false);
                }
            }
        }
    }

    /** A newer report lacks an attempt: its start, if any, was dropped for good, since workers drop late answers. */
    private void absent(Machine m, Placement p, Report r, double nowS) {
        if (p.seen) {
            // At large, it could even begin once more; but a worker forgets an attempt only when told to.
            cluster.gone(p, nowS, 0, "not reported any more");
        } else if (p.startAtLarge) {
            // No proof of anything, but an answer may bring the same start sooner; see unanswerable.
            if (r.sequence() > p.startSentIn) {
                p.startSentIn = -1;
            }
        } else if (p.stopping) {
            if (p.job.durable(p.task, p.version)) {
                cluster.gone(p, nowS, 0, "stopped before it began");
            }
        } else if (p.startSentIn >= 0 && r.sequence() > p.startSentIn) {
            // Once, an answer was lost; twice, the machine does not hear us, and what waits for it must not wait
            // longer.
            if (++p.ignored < Constants.IGNORED_STARTS) {
                p.startSentIn = -1; // goes out again with this answer
            } else {
                m.deaf = true;
                cluster.gone(p, nowS, 0, "its start has no effect");
            }
        }
    }

    private void ended(Machine m, Placement p, Report.Item i, String key, double nowS) {
        Job j = p.job;
        if (j.spec.service()) {
            cluster.gone(p, nowS, replicaEnded(m, p, i.cause(), nowS), "replica exited " + i.cause());
        } else if (i.cause() == Cause.DONE) {
            cluster.drop(p);
            cluster.roomFreed(false);
            cluster.completed(m, p, nowS);
            if (j.spec.gang()) { // a gang completes together
                j.done.set(0, j.spec.tasks());
                for (int t = 0; t < j.spec.tasks(); t = j.from(j.partOf(t) + 1)) {
                    j.touch(t, nowS, true);
                }
            } else {
                j.done.set(p.task);
            }
            j.failures.remove(p.task);
            cluster.succeeded(m, j);
            j.touch(p.task, nowS, j.complete());
        } else {
            double retry = 0;
            if (i.cause() == Cause.ERROR) {
                int n = j.failures.addTo(p.task, 1) + 1;
                retry = Math.min(Constants.RETRY_MAX_S, Constants.RETRY_BASE_S * Math.pow(2, n - 1));
                cluster.failed(m, j, p.attempt);
                if (j.failureHistory.suspected()) {
                    j.pausedUntilS = Math.max(j.pausedUntilS, nowS + j.failureHistory.retryS());
                }
            } else if (i.cause() == Cause.FULL || i.cause() == Cause.BUSY || i.cause() == Cause.UNKNOWN) {
                retry = Constants.REFUSED_RETRY_S;
            }
            cluster.gone(p, nowS, retry, "exited " + i.cause() + (i.saved() ? ", saved" : ""));
        }
        m.ended.put(key, new Machine.Ended(j, p.task, j.version));
    }

    /**
     * A replica has ended by itself, with whatever cause: it has to run again, and elsewhere. Returns the seconds until
     * then: none for one that had settled or failed once, as the fault is most likely the machine's; one that ends at
     * once again and again must not take the turn of the others.
     */
    private double replicaEnded(Machine m, Placement p, Cause cause, double nowS) {
        Job j = p.job;
        if (cause == Cause.STOPPED) {
            return 0;
        }
        j.avoid.put(p.task, m.name);
        if (cause == Cause.FULL || cause == Cause.BUSY || cause == Cause.UNKNOWN) {
            return Constants.REFUSED_RETRY_S;
        }
        if (!Double.isNaN(p.runningS) && nowS - p.runningS > Constants.SETTLED_S) {
            j.failures.remove(p.task);
            cluster.succeeded(m, j);
        }
        int n = j.failures.addTo(p.task, 1) + 1;
        if (cause == Cause.ERROR) {
            cluster.failed(m, j, p.attempt);
        }
        return n < 2 ? 0 : Math.min(Constants.RETRY_MAX_S, Constants.RETRY_BASE_S * Math.pow(2, n - 2));
    }
}
