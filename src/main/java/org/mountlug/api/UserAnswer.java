package org.mountlug.api;

import org.mountlug.Constants;

/** What a user is answered; {@link UserAnswerCodec} alone knows status codes and field names. */
public sealed interface UserAnswer {
    /** The submission was taken in just now: its record is durable. */
    record Accepted(String jobId) implements UserAnswer {}

    /** How a known job stands; the counts of tasks are for display. */
    record JobState(String jobId, JobStatus status, int done, int running) implements UserAnswer {}

    /** No such job was ever accepted. */
    record UnknownJob() implements UserAnswer {}

    /** The request cannot be read, or a field is missing or invalid; {@code problem} names it. */
    record Malformed(String problem) implements UserAnswer {}

    /** The job can never run; {@code reason} says why. */
    record Unschedulable(String reason) implements UserAnswer {}

    /**
     * Other submissions go first; come back in so many seconds, {@code turnIsFinal} if the submission will be admitted
     * then, and otherwise to be told its turn.
     */
    record Deferred(int retryAfterS, boolean turnIsFinal) implements UserAnswer {}

    /** This controller is asked for more than its part of the request budget, come back in so many seconds. */
    record OverBudget(int retryAfterS) implements UserAnswer {}

    /** Nothing can be decided here and now, come back in so many seconds. */
    record Unavailable(int retryAfterS) implements UserAnswer {}

    /** Refuses a request beyond the request budget. */
    static UserAnswer overBudget() {
        return new OverBudget(Constants.RETRY_AFTER_S);
    }

    /** Refuses a request that nothing can be said of at the moment. */
    static UserAnswer unavailable() {
        return new Unavailable(Constants.RETRY_AFTER_S);
    }

    /** Refuses a request whose state service call failed with this status. */
    static UserAnswer unserved(int status) {
        return status == 429 ? overBudget() : unavailable();
    }
}
