package org.mountlug.core.model;

/**
 * Priority of a job, lowest first. A job may preempt tasks of strictly lower priority; tasks of other priorities may be
 * stopped for it only under the rules for team guarantees.
 */
public enum Priority {
    IDLE,
    STANDARD,
    HIGH,
    PROD
}
