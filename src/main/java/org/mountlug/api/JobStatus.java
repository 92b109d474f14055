package org.mountlug.api;

/** The states of a job that users tell apart. */
public enum JobStatus {
    /** No task runs. */
    PENDING,
    /** Some tasks run. */
    RUNNING,
    /** All tasks are done. */
    DONE,
    /** Cancelled by its user. */
    CANCELLED;

    /** The state of a job that is over. */
    static JobStatus ofFinished(boolean done) {
        return done ? DONE : CANCELLED;
    }
}
