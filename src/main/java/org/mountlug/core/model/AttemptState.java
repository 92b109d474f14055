package org.mountlug.core.model;

/** What a worker says of an attempt. */
public enum AttemptState {
    FETCHING,
    WAITING_FOR_GANG,
    RUNNING,
    SAVING,
    EXITED
}
