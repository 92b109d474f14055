package org.mountlug.core.model;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.mountlug.Constants;

/**
 * Where the tasks of a job have failed since one of them last completed. A job that never completes anything and fails on
 * several machines is suspected of a mistake of its own: it is then tried one attempt at a time, ever more seldom.
 */
public final class FailureHistory {
    private final Set<String> failedMachines = new LinkedHashSet<>();
    private boolean suspected;
    private long lastAttempt = -1;
    private int failedAttempts;

    /** Whether the job is suspected of failing everywhere. */
    public boolean isSuspected() {
        return suspected;
    }

    /** The machines on which it has failed. */
    public Set<String> failedMachines() {
        return Collections.unmodifiableSet(failedMachines);
    }

    /** A task of this attempt has failed there; the tasks of a gang that fail together count once. */
    public void recordFailure(String machine, long attempt) {
        failedMachines.add(machine);
        if (attempt != lastAttempt) {
            lastAttempt = attempt;
            failedAttempts++;
        }
    }

    /** From now on the job is suspected. */
    public void markSuspected() {
        suspected = true;
        failedAttempts = 0;
    }

    /** Seconds for which a suspected job waits before it is tried again. */
    public double retryDelayS() {
        return Math.min(Constants.MAX_TASK_RETRY_S, Constants.TASK_RETRY_BASE_S * Math.pow(2, failedAttempts));
    }

    /** A task has completed: the job works, and what failed before was not its own fault. */
    public void recordCompletion() {
        failedMachines.clear();
        suspected = false;
        failedAttempts = 0;
        lastAttempt = -1;
    }
}
