package org.mountlug.core.model;

/** Priority of a job, lowest first: only a strictly higher one may stop another's tasks. */
public enum Priority {
    IDLE,
    STANDARD,
    HIGH,
    PROD
}
