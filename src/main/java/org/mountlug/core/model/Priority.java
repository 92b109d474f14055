package org.mountlug.core.model;

/** Priority of a job, lowest first; a job may preempt only tasks of jobs with a strictly lower priority. */
public enum Priority {
    IDLE,
    STANDARD,
    HIGH,
    PROD
}
