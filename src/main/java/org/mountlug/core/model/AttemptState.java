package org.mountlug.core.model;

/** State of an attempt as its worker reports it. */
public enum AttemptState {
    FETCHING,
    WAITING_FOR_GANG,
    RUNNING,
    SAVING,
    EXITED
}
