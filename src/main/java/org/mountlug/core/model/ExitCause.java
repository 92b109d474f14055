package org.mountlug.core.model;

/** Why an attempt ended. */
public enum ExitCause {
    DONE,
    STOPPED,
    PEERS,
    INCOMPLETE,
    ERROR,
    FULL,
    BUSY,
    UNKNOWN,
    NONE
}
