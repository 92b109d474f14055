package org.mountlug.core.model;

/** What a worker says of an attempt. */
public enum TaskState {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
}
