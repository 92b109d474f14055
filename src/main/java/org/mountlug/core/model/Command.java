package org.mountlug.core.model;

import java.util.List;
import java.util.stream.Collectors;

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

    /** Returns the commands in the form of the log, such as {@code START wk-000001/0 attempt 2}. */
    public static String describe(List<Command> commands) {
        return commands.stream()
                .map(command -> command.verb + " " + command.taskName + " attempt " + command.attempt)
                .collect(Collectors.joining(", "));
    }
}
