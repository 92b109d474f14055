package org.mountlug.api;

/** The state of a job as it is reported to users. */
public enum JobStatus {
    /** The job is neither done nor cancelled, and none of its tasks is placed on a machine. */
    PENDING,
    /** At least one task is placed on a machine. */
    RUNNING,
    /** All tasks are done. */
    DONE,
    /** Cancelled by its user. */
    CANCELLED;

    /** Returns the state of a finished job. */
    static JobStatus ofFinished(boolean done) {
        return done ? DONE : CANCELLED;
    }
}
