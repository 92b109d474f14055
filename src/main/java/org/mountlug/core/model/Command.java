package org.mountlug.core.model;

/**
 * A command from the leader to a worker about one attempt.
 *
 * @param gracePeriodS seconds that the task has to save its state before a stop; 0 for other verbs
 */
public record Command(Verb verb, String taskName, long attempt, double gracePeriodS) {
    /** What the worker must do with the attempt. */
    public enum Verb {
        START,
        STOP,
        FORGET
    }
}
