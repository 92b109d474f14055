package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;

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
    List<Command> handleReport(Report r, boolean mayStart, double nowS) {
        if (r.token() > cluster.token()) {
            return null;
        }
        if (cluster.isMachineGone(r.machine())) {
            return List.of(); // a late word of a machine that was returned
        }
        Machine m = cluster.machines.get(r.machine());
        if (m == null) {
            m = new Machine(r.machine(), nowS);
            cluster.addMachine(m);
            cluster.addEvent("found " + r.machineType() + " in " + r.zone() + (r.spot() ? " spot" : ""), m.name);
        }
        if (!r.isNewerThan(m.session, m.sequence)) {
            // Overtaken by the answer to orders sent directly to the worker, it may still be the one report that it
            // waits
            // for, and then what we answer renews its lease. A copy of a report that we had is no such thing, nor is
            // one
            // that a later report has followed.
            if (r.session() == m.session && r.sequence() > m.reportSequence) {
                m.reportSequence = r.sequence();
                m.lastResponseS = nowS;
            }
            return List.of(); // held back on its way: as old as its sequence
        }
        if (!m.hasReported) {
            m.recordFirstReport(nowS);
        }
        boolean served = m.tokenConfirmed && !m.unreachable;
        if (r.session() > m.session && m.sequence >= 0) {
            m.unreachable = true;
        } else if (r.token() == cluster.token()
                && r.sequence() == m.sequence + 1
                && nowS - m.lastReportS < Constants.MAX_CONSECUTIVE_REPORT_GAP_S) {
            m.unreachable = false;
        }
        m.type = cluster.type(r.machineType());
        m.zone = r.zone();
        m.spot = r.spot();
        m.address = r.address();
        if (nowS - m.lastReportS > leaseS / 2) {
            m.silenceEndedS = nowS;
        }
        m.lastReportS = nowS;
        if (r.session() != m.session) {
            m.exitedAttempts.clear();
            m.unconfirmedStarts.clear(); // a command names its session
        }
        m.session = r.session();
        m.sequence = r.sequence();
        m.reportSequence = r.sequence();
        if (!Double.isNaN(r.reclaimInS())) {
            if (Double.isNaN(m.reclaimAtS)) {
                cluster.addEvent("notice, taken in " + Math.round(r.reclaimInS()) + " s", m.name);
            }
            m.reclaimAtS = nowS + r.reclaimInS();
        }
        // A report under an older cluster.token() may be followed by an older leader's word; it proves nothing.
        m.tokenConfirmed = r.token() == cluster.token();
        // Nothing could be given to it until now, so it has not been idle; else what comes back from a cut is returned.
        if (!served && m.tokenConfirmed && !m.unreachable) {
            m.idleSinceS = nowS;
        }
        if (m.tokenConfirmed && !m.unreachable) {
            m.outOfContactSinceS = Double.NaN;
        } else if (Double.isNaN(m.outOfContactSinceS)) {
            m.outOfContactSinceS = nowS;
        }
        m.lastResponseS = nowS;
        if (!m.tokenConfirmed) {
            return stops(m, r);
        }
        return settle(m, r, mayStart, nowS);
    }

    /**
     * What can be said to a worker that has not seen our cluster.token(): cancelled tasks stop with the first answer, as the same
     * answer renews their lease and leaders may change again before the next. A stop names an attempt and proves nothing.
     */
    private List<Command> stops(Machine m, Report r) {
        List<Command> orders = new ArrayList<>();
        for (Report.AttemptStatus i : r.attempts()) {
            Placement p = m.placements.get(i.job() + "/" + i.task());
            if (p == null || p.attempt != i.attempt() || !p.job.cancelled || i.state() == AttemptState.EXITED) {
                continue;
            }
            orders.add(new Command(Command.Verb.STOP, p.taskName(), p.attempt, p.gracePeriodS));
        }
        return orders;
    }

    /** Takes in what a report shows of an attempt that is placed there. */
    void updateFromReport(Machine m, Placement p, Report.AttemptStatus i, String key, double nowS) {
        p.reported = true;
        p.state = i.state();
        if (i.state() == AttemptState.EXITED) {
            ended(m, p, i, key, nowS);
        } else if (i.state() == AttemptState.RUNNING && Double.isNaN(p.runningSinceS)) {
            p.runningSinceS = nowS;
            cluster.recordStart(p);
            if (p.job.spec.isService()) {
                p.job.markChanged(p.task, nowS, false); // its user is told how many run
            }
            m.cachedImages.remove(p.job.spec.image());
            m.cachedImages.add(p.job.spec.image());
        }
    }

    private List<Command> settle(Machine m, Report r, boolean mayStart, double nowS) {
        List<Command> orders = new ArrayList<>();
        Map<String, Report.AttemptStatus> shown = new HashMap<>();
        for (Report.AttemptStatus i : r.attempts()) {
            shown.put(Machine.attemptKey(i.job(), i.task(), i.attempt()), i);
        }
        m.orphans.clear();
        for (Placement p : new ArrayList<>(m.placements.values())) {
            if (p.session < m.session) {
                cluster.recordLostAttempt(p, nowS, 0, "new session");
                continue;
            }
            String key = Machine.attemptKey(p.job.spec.id(), p.task, p.attempt);
            Report.AttemptStatus i = shown.remove(key);
            if (i == null) {
                absent(m, p, r, nowS);
                continue;
            }
            updateFromReport(m, p, i, key, nowS);
            if (i.state() != AttemptState.EXITED && p.stopping) {
                orders.add(new Command(Command.Verb.STOP, p.taskName(), p.attempt, p.gracePeriodS));
            }
        }
        for (Report.AttemptStatus i : r.attempts()) {
            String key = Machine.attemptKey(i.job(), i.task(), i.attempt());
            String name = i.job() + "/" + i.task();
            if (i.state() == AttemptState.EXITED) {
                Machine.ExitedAttempt e = m.exitedAttempts.get(key);
                // Forgetting early would let a repeated start run it again, or lose the result.
                // A start still at large would run it once more if it were forgotten.
                if (m.unconfirmedStarts.contains(key)) {
                    continue;
                }
                if (e == null || e.durable() || cluster.jobs.get(i.job()) != e.job()) {
                    m.exitedAttempts.remove(key);
                    orders.add(new Command(Command.Verb.FORGET, name, i.attempt(), 0));
                }
            } else if (shown.containsKey(key)) {
                m.orphans.put(key, i);
                orders.add(new Command(Command.Verb.STOP, name, i.attempt(), 0));
            }
        }
        if (mayStart) {
            for (Placement p : m.placements.values()) {
                if (p.startReportSequence >= 0
                        || p.reported
                        || p.stopping
                        || p.job.cancelled
                        || p.session != m.session) {
                    continue;
                }
                if (!p.job.isDurable(p.task, p.version) || cluster.jobs.get(p.job.spec.id()) != p.job) {
                    continue;
                }
                if (p.standby && !mayBegin(m, p)) {
                    continue;
                }
                p.standby = false;
                p.startReportSequence = r.sequence();
                orders.add(new Command(Command.Verb.START, p.taskName(), p.attempt, 0));
            }
        }
        if (!m.isEmpty()) {
            m.idleSinceS = nowS;
        }
        return orders;
    }

    /** Whether what a standby waited for has ended. */
    private static boolean mayBegin(Machine m, Placement p) {
        return m.type != null
                && m.orphans.isEmpty()
                && p.job.spec.request().fitsIn(m.type.capacity().minus(m.allocated()));
    }

    /** Standbys whose room has come free become ordinary placements; those that waited too long are given up. */
    void updateStandbys(double nowS) {
        for (Machine m : cluster.machines.values()) {
            for (Placement p : new ArrayList<>(m.placements.values())) {
                if (!p.standby) {
                    continue;
                }
                if (mayBegin(m, p)) {
                    p.standby = false;
                } else if (nowS - p.placedAtS > Constants.MAX_STANDBY_WAIT_S) {
                    cluster.removePlacement(p); // its start never left
                    p.job.markChanged(p.task, nowS, false);
                }
            }
        }
    }

    /** A newer report lacks an attempt: its start, if any, was dropped for good, since workers drop late answers. */
    private void absent(Machine m, Placement p, Report r, double nowS) {
        if (p.reported) {
            // At large, it could even begin once more; but a worker forgets an attempt only when told to.
            cluster.recordLostAttempt(p, nowS, 0, "not reported any more");
        } else if (p.startUnconfirmed) {
            // No proof of anything, but an answer may bring the same start sooner; see unanswerable.
            if (r.sequence() > p.startReportSequence) {
                p.startReportSequence = -1;
            }
        } else if (p.stopping) {
            if (p.job.isDurable(p.task, p.version)) {
                cluster.recordLostAttempt(p, nowS, 0, "stopped before it began");
            }
        } else if (p.startReportSequence >= 0 && r.sequence() > p.startReportSequence) {
            // Once, an answer was lost; twice, the machine does not hear us, and what waits for it must not wait
            // longer.
            if (++p.ignoredStarts < Constants.MAX_IGNORED_STARTS) {
                p.startReportSequence = -1; // goes out again with this answer
            } else {
                m.unreachable = true;
                cluster.recordLostAttempt(p, nowS, 0, "its start has no effect");
            }
        }
    }

    private void ended(Machine m, Placement p, Report.AttemptStatus i, String key, double nowS) {
        Job j = p.job;
        if (j.spec.isService()) {
            cluster.recordLostAttempt(p, nowS, replicaEnded(m, p, i.cause(), nowS), "replica exited " + i.cause());
        } else if (i.cause() == ExitCause.DONE) {
            cluster.removePlacement(p);
            cluster.markCapacityFreed(false);
            cluster.recordCompletion(m, p, nowS);
            if (j.spec.isGang()) { // a gang completes together
                j.doneTasks.set(0, j.spec.tasks());
                for (int t = 0; t < j.spec.tasks(); t = j.firstTaskOf(j.partOf(t) + 1)) {
                    j.markChanged(t, nowS, true);
                }
            } else {
                j.doneTasks.set(p.task);
            }
            j.failuresByTask.remove(p.task);
            cluster.recordSuccess(m, j);
            j.markChanged(p.task, nowS, j.isComplete());
        } else {
            double retry = 0;
            if (i.cause() == ExitCause.ERROR) {
                int n = j.failuresByTask.addTo(p.task, 1) + 1;
                retry = Math.min(Constants.MAX_TASK_RETRY_S, Constants.TASK_RETRY_BASE_S * Math.pow(2, n - 1));
                cluster.recordFailure(m, j, p.attempt);
                if (j.failureHistory.isSuspected()) {
                    j.pausedUntilS = Math.max(j.pausedUntilS, nowS + j.failureHistory.retryDelayS());
                }
            } else if (i.cause() == ExitCause.FULL || i.cause() == ExitCause.BUSY || i.cause() == ExitCause.UNKNOWN) {
                retry = Constants.REFUSED_START_RETRY_S;
            }
            cluster.recordLostAttempt(p, nowS, retry, "exited " + i.cause() + (i.saved() ? ", saved" : ""));
        }
        m.exitedAttempts.put(key, new Machine.ExitedAttempt(j, p.task, j.version));
    }

    /**
     * A replica has ended by itself, with whatever cause: it has to run again, and elsewhere. Returns the seconds until
     * then: none for one that had settled or failed once, as the fault is most likely the machine's; one that ends at
     * once again and again must not take the turn of the others.
     */
    private double replicaEnded(Machine m, Placement p, ExitCause cause, double nowS) {
        Job j = p.job;
        if (cause == ExitCause.STOPPED) {
            return 0;
        }
        j.avoidedMachineByTask.put(p.task, m.name);
        if (cause == ExitCause.FULL || cause == ExitCause.BUSY || cause == ExitCause.UNKNOWN) {
            return Constants.REFUSED_START_RETRY_S;
        }
        if (!Double.isNaN(p.runningSinceS) && nowS - p.runningSinceS > Constants.REPLICA_STABLE_AFTER_S) {
            j.failuresByTask.remove(p.task);
            cluster.recordSuccess(m, j);
        }
        int n = j.failuresByTask.addTo(p.task, 1) + 1;
        if (cause == ExitCause.ERROR) {
            cluster.recordFailure(m, j, p.attempt);
        }
        return n < 2 ? 0 : Math.min(Constants.MAX_TASK_RETRY_S, Constants.TASK_RETRY_BASE_S * Math.pow(2, n - 2));
    }
}
