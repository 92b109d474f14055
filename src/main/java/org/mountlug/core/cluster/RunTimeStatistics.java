package org.mountlug.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;

/**
 * What the ends of tasks tell: of a class, how long its tasks run against their owners' estimates; of a machine, whether
 * work may be left to it. Everything is judged from outcomes alone, as no machine says of itself that it is faulty.
 */
final class RunTimeStatistics {
    /** By class: sums of actual over estimated run time and of their number, the latest counting most. */
    private final Object2ObjectOpenHashMap<String, double[]> pace = new Object2ObjectOpenHashMap<>();
    /** By live job: sum of the logarithms of its tasks' run times, and their number. */
    private final Object2ObjectOpenHashMap<String, double[]> runs = new Object2ObjectOpenHashMap<>();

    /** Run time to expect of a task, the owner's estimate corrected by what the class has shown. */
    double expectedRunS(Job j) {
        double[] p = pace.get(j.spec.jobClass());
        double f = p == null ? 1 : (p[0] + 4) / (p[1] + 4);
        return Math.max(1, j.spec.expectedRunS() * Math.min(3, Math.max(0.3, f)));
    }

    /**
     * A task has completed, while so many machines are up and so many of them are condemned; returns what there is to
     * say if this one is condemned by it, else null.
     */
    boolean recordCompletion(Machine m, Placement p, int machineCount, int quarantinedCount, double nowS) {
        Job j = p.job;
        // What began in an earlier term began at a time that we do not know: counted from our first look, all of it
        // would seem short, and what runs in full after it slow.
        if (Double.isNaN(p.runningSinceS) || p.version == 0) {
            return false;
        }
        double ran = Math.max(0.5, nowS - p.runningSinceS);
        if (j.spec.expectedRunS() > 0 && j.spec.checkpointIntervalS() == 0) {
            double[] x = pace.computeIfAbsent(j.spec.jobClass(), k -> new double[2]);
            x[0] = x[0] * 0.99 + ran / j.spec.expectedRunS();
            x[1] = x[1] * 0.99 + 1;
        }
        return j.spec.isGang()
                ? false
                : slow(m, p, ran, quarantinedCount < Math.max(1, machineCount * Constants.MAX_QUARANTINED_SHARE), nowS);
    }

    /**
     * A machine that runs tasks slower than others run tasks of the same job, one after the other: a sum of how much
     * slower, less what is within the ordinary, that starts anew whenever it falls below nothing. A gang runs at the
     * speed of its slowest machine, so its tasks tell nothing of any one; nor do those that ended unseen.
     */
    private boolean slow(Machine m, Placement p, double ran, boolean may, double nowS) {
        double[] r = runs.computeIfAbsent(p.job.spec.id(), k -> new double[2]);
        double log = Math.log(ran);
        double mean = r[1] > 0 ? r[0] / r[1] : log;
        boolean judged =
                r[1] >= Constants.SLOWNESS_MIN_SAMPLES && p.runningSinceS > m.silenceEndedS && nowS > m.slownessJudgedS;
        r[0] += Math.min(log, mean + Constants.MAX_SLOWNESS_PER_TASK_LOG);
        r[1]++;
        if (!judged) {
            return false;
        }
        m.slownessJudgedS = nowS; // what ended together, ended late together
        m.slowness = Math.max(
                0,
                m.slowness
                        + Math.min(Constants.MAX_SLOWNESS_PER_TASK_LOG, log - mean)
                        - Constants.SLOWNESS_TOLERANCE_LOG);
        if (m.slowness < Constants.SLOWNESS_QUARANTINE_THRESHOLD || m.quarantined || !may) {
            return false;
        }
        m.quarantined = true;
        return true;
    }

    /** The job is over, and what was learnt of its tasks with it. */
    void removeJob(String job) {
        runs.remove(job);
    }
}
