package org.mountlug.core.model;

/** A command for a worker. */
public record Order(Verb verb, String task, long attempt, double leewayS) {
    /** What a worker is told to do with an attempt. */
    public enum Verb {
        START,
        STOP,
        FORGET
    }
}
