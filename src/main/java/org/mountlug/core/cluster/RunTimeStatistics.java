package org.mountlug.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Placement;

/**
 * Statistics of the run times of completed tasks: for a job class, how long its tasks run compared with the users'
 * estimates; for a machine, whether it runs tasks slowly. Only outcomes count, as no machine reports that it is faulty.
 */
final class RunTimeStatistics {
    /** By class: sum of the ratios of actual to estimated run time, and their number, both with exponential decay. */
    private final Object2ObjectOpenHashMap<String, double[]> runTimeRatiosByClass = new Object2ObjectOpenHashMap<>();
    /** By id of a live job: sum of the logarithms of its tasks' run times, and their number. */
    private final Object2ObjectOpenHashMap<String, double[]> runTimeLogsByJob = new Object2ObjectOpenHashMap<>();

    /**
     * Returns the expected run time of a task in seconds, at least 1: the user's estimate times the mean ratio of its class.
     * The mean includes four assumed tasks with a ratio of 1, and counts as at least 0.3 and at most 3.
     */
    double expectedRunS(Job job) {
        double[] ratios = runTimeRatiosByClass.get(job.spec.jobClass());
        double factor = ratios == null ? 1 : (ratios[0] + 4) / (ratios[1] + 4);
        return Math.max(1, job.spec.expectedRunS() * Math.min(3, Math.max(0.3, factor)));
    }

    /**
     * Records a completed task and returns whether its machine has been quarantined for slowness by it.
     *
     * @param machineCount number of machines
     * @param quarantinedCount number of quarantined machines, which limits further quarantines
     */
    boolean recordCompletion(
            Machine machine, Placement placement, int machineCount, int quarantinedCount, double nowS) {
        Job job = placement.job;
        // The start time of a task that began in an earlier term is unknown. Counted from the first report in this
        // term, all such tasks would seem short, and the tasks after them slow.
        if (Double.isNaN(placement.runningSinceS) || placement.version == 0) {
            return false;
        }
        double runS = Math.max(0.5, nowS - placement.runningSinceS);
        if (job.spec.expectedRunS() > 0 && job.spec.checkpointIntervalS() == 0) {
            double[] ratios = runTimeRatiosByClass.computeIfAbsent(job.spec.jobClass(), k -> new double[2]);
            ratios[0] = ratios[0] * 0.99 + runS / job.spec.expectedRunS();
            ratios[1] = ratios[1] * 0.99 + 1;
        }
        return job.spec.isGang()
                ? false
                : quarantineIfSlow(
                        machine,
                        placement,
                        runS,
                        quarantinedCount < Math.max(1, machineCount * Constants.MAX_QUARANTINED_SHARE),
                        nowS);
    }

    /**
     * Updates the slowness of a machine and returns whether the machine has been quarantined for it. The slowness is a
     * cumulative sum over its tasks of how much longer they ran than the mean of their job, on a logarithmic scale and less
     * a tolerance; it restarts at zero whenever it becomes negative. Tasks of gangs do not count, as a gang runs at the
     * speed of its slowest machine, nor do tasks that ran during a silence, as their end was not observed.
     */
    private boolean quarantineIfSlow(
            Machine machine, Placement placement, double runS, boolean mayQuarantine, double nowS) {
        double[] jobLogs = runTimeLogsByJob.computeIfAbsent(placement.job.spec.id(), k -> new double[2]);
        double runLog = Math.log(runS);
        double meanLog = jobLogs[1] > 0 ? jobLogs[0] / jobLogs[1] : runLog;
        boolean isComparable = jobLogs[1] >= Constants.SLOWNESS_MIN_SAMPLES
                && placement.runningSinceS > machine.silenceEndedS
                && nowS > machine.slownessUpdatedS;
        jobLogs[0] += Math.min(runLog, meanLog + Constants.MAX_SLOWNESS_PER_TASK_LOG);
        jobLogs[1]++;
        if (!isComparable) {
            return false;
        }
        machine.slownessUpdatedS = nowS; // of tasks reported as exited together only one counts
        machine.slowness = Math.max(
                0,
                machine.slowness
                        + Math.min(Constants.MAX_SLOWNESS_PER_TASK_LOG, runLog - meanLog)
                        - Constants.SLOWNESS_TOLERANCE_LOG);
        if (machine.slowness < Constants.SLOWNESS_QUARANTINE_THRESHOLD || machine.quarantined || !mayQuarantine) {
            return false;
        }
        machine.quarantined = true;
        return true;
    }

    /** Removes the statistics of a finished job. */
    void removeJob(String jobId) {
        runTimeLogsByJob.remove(jobId);
    }
}
