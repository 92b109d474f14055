package org.mountlug.core.model;

/**
 * Why an attempt ended. {@link #FULL}, {@link #BUSY} and {@link #UNKNOWN} mean that the worker refused the start;
 * {@link #NONE} that the report names no cause.
 */
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
