package org.mountlug.core.model;

/** A command for a worker. */
public record Command(Verb verb, String taskName, long attempt, double gracePeriodS) {
    /** What a worker is told to do with an attempt. */
    public enum Verb {
        START,
        STOP,
        FORGET
    }
}
