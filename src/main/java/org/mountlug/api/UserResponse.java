package org.mountlug.api;

import org.mountlug.Constants;

/** The response to a user's request; {@link UserResponseCodec} converts it to a status code and a body. */
public sealed interface UserResponse {
    /** The submission was accepted by this request: the job's record is durable. */
    record Accepted(String jobId) implements UserResponse {}

    /**
     * The state of an accepted job; the numbers of tasks are for display only.
     *
     * @param placedTasks number of tasks that are placed on machines
     */
    record JobState(String jobId, JobStatus status, int doneTasks, int placedTasks) implements UserResponse {}

    /** No such job was ever accepted. */
    record UnknownJob() implements UserResponse {}

    /** The body cannot be read, or a field is missing or invalid; {@code problem} names the fault or the field. */
    record Malformed(String problem) implements UserResponse {}

    /** The job can never run; {@code reason} says why. */
    record Unschedulable(String reason) implements UserResponse {}

    /**
     * The submission is deferred until its turn.
     *
     * @param retryAfterS seconds after which the user should repeat it
     * @param turnIsFinal whether the submission will be admitted then; otherwise the user will receive another time
     */
    record Deferred(int retryAfterS, boolean turnIsFinal) implements UserResponse {}

    /**
     * The request exceeds this controller's part of the rate limit, or the state service refused it as one too many; it may be
     * repeated after {@code retryAfterS} seconds.
     */
    record RateLimited(int retryAfterS) implements UserResponse {}

    /** This controller cannot decide the request at the moment; it may be repeated after {@code retryAfterS} seconds. */
    record Unavailable(int retryAfterS) implements UserResponse {}

    /** Returns the response to a request that exceeds a rate limit. */
    static UserResponse rateLimited() {
        return new RateLimited(Constants.RETRY_AFTER_S);
    }

    /** Returns the response to a request that cannot be decided at the moment. */
    static UserResponse unavailable() {
        return new Unavailable(Constants.RETRY_AFTER_S);
    }

    /** Returns the response to a request whose call to the state service failed with this status. */
    static UserResponse forStateError(int status) {
        return status == 429 ? rateLimited() : unavailable();
    }
}
