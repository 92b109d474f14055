package org.mountlug.core.model;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.mountlug.Constants;

/**
 * Records on which machines the tasks of a job have failed since one of them last completed. A job that has completed no
 * task and fails on several machines is suspected of being at fault itself: it is then retried one attempt at a time, with
 * a delay that doubles with each failed attempt.
 */
public final class FailureHistory {
    private final Set<String> failedMachines = new LinkedHashSet<>();
    private boolean suspected;
    private long lastFailedAttempt = -1;
    private int failedAttempts;

    /** Whether the job itself, not a machine, is suspected to be the cause of its failures. */
    public boolean isSuspected() {
        return suspected;
    }

    /** Returns the names of the machines on which tasks of the job have failed. */
    public Set<String> failedMachines() {
        return Collections.unmodifiableSet(failedMachines);
    }

    /** Records the failure of a task; tasks of a gang that fail in the same attempt count as one failed attempt. */
    public void recordFailure(String machineName, long attempt) {
        failedMachines.add(machineName);
        if (attempt != lastFailedAttempt) {
            lastFailedAttempt = attempt;
            failedAttempts++;
        }
    }

    /** Marks the job as suspected and resets its retry delay. */
    public void markSuspected() {
        suspected = true;
        failedAttempts = 0;
    }

    /** Returns the seconds for which a suspected job waits before it is retried. */
    public double retryDelayS() {
        return Math.min(Constants.MAX_TASK_RETRY_S, Constants.TASK_RETRY_BASE_S * Math.pow(2, failedAttempts));
    }

    /** Clears the history, as a completed task shows that earlier failures were not the job's fault. */
    public void recordCompletion() {
        failedMachines.clear();
        suspected = false;
        failedAttempts = 0;
        lastFailedAttempt = -1;
    }
}
