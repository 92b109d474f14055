package org.mountlug.node;

import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.ExitCause;

/** An attempt on a {@link SimulatedWorker}. */
final class SimulatedTask {
    final String jobId;
    final int index;
    final long attempt;
    AttemptState state = AttemptState.RUNNING;
    ExitCause cause = ExitCause.NONE;
    /** Seconds of its run time that have passed. */
    double elapsedRunS;

    SimulatedTask(String job, int index, long attempt) {
        this.jobId = job;
        this.index = index;
        this.attempt = attempt;
    }
}
