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
    private final Set<String> machines = new LinkedHashSet<>();
    private boolean suspected;
    private long lastAttempt = -1;
    private int failedAttempts;

    /** Whether the job is suspected of failing everywhere. */
    public boolean suspected() {
        return suspected;
    }

    /** The machines on which it has failed. */
    public Set<String> machines() {
        return Collections.unmodifiableSet(machines);
    }

    /** A task of this attempt has failed there; the tasks of a gang that fail together count once. */
    public void failed(String machine, long attempt) {
        machines.add(machine);
        if (attempt != lastAttempt) {
            lastAttempt = attempt;
            failedAttempts++;
        }
    }

    /** From now on the job is suspected. */
    public void suspect() {
        suspected = true;
        failedAttempts = 0;
    }

    /** Seconds for which a suspected job waits before it is tried again. */
    public double retryS() {
        return Math.min(Constants.RETRY_MAX_S, Constants.RETRY_BASE_S * Math.pow(2, failedAttempts));
    }

    /** A task has completed: the job works, and what failed before was not its own fault. */
    public void completed() {
        machines.clear();
        suspected = false;
        failedAttempts = 0;
        lastAttempt = -1;
    }
}
