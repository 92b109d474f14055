package org.mountlug.api;

import org.mountlug.Constants;

/** What a user is answered; {@link UserResponseCodec} alone knows status codes and field names. */
public sealed interface UserResponse {
    /** The submission was taken in just now: its record is durable. */
    record Accepted(String jobId) implements UserResponse {}

    /** How a known job stands; the counts of tasks are for display. */
    record JobState(String jobId, JobStatus status, int doneTasks, int runningTasks) implements UserResponse {}

    /** No such job was ever accepted. */
    record UnknownJob() implements UserResponse {}

    /** The request cannot be read, or a field is missing or invalid; {@code problem} names it. */
    record Malformed(String problem) implements UserResponse {}

    /** The job can never run; {@code reason} says why. */
    record Unschedulable(String reason) implements UserResponse {}

    /**
     * Other submissions go first; come back in so many seconds, {@code turnIsFinal} if the submission will be admitted
     * then, and otherwise to be told its turn.
     */
    record Deferred(int retryAfterS, boolean turnIsFinal) implements UserResponse {}

    /** This controller is asked for more than its part of the request budget, come back in so many seconds. */
    record RateLimited(int retryAfterS) implements UserResponse {}

    /** Nothing can be decided here and now, come back in so many seconds. */
    record Unavailable(int retryAfterS) implements UserResponse {}

    /** Refuses a request beyond the request budget. */
    static UserResponse rateLimited() {
        return new RateLimited(Constants.RETRY_AFTER_S);
    }

    /** Refuses a request that nothing can be said of at the moment. */
    static UserResponse unavailable() {
        return new Unavailable(Constants.RETRY_AFTER_S);
    }

    /** Refuses a request whose state service call failed with this status. */
    static UserResponse forStateError(int status) {
        return status == 429 ? rateLimited() : unavailable();
    }
}
