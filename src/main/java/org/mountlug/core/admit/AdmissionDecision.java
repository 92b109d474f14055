package org.mountlug.core.admit;

/** The decision on a submission whose job can run. */
public sealed interface AdmissionDecision {
    /** The job's record may be written now. */
    record Admit() implements AdmissionDecision {}

    /**
     * The submission has to be repeated later.
     *
     * @param retryAfterS whole seconds after which the user should repeat the submission
     * @param turnMs epoch milliseconds of the submission's turn by the current schedule
     * @param turnIsFinal whether that turn can no longer move, so that the submission is admitted when it is repeated
     */
    record Defer(int retryAfterS, long turnMs, boolean turnIsFinal) implements AdmissionDecision {}

    /** This controller's rate limit is exceeded; the submission should be repeated soon. */
    record RateLimited() implements AdmissionDecision {}

    /**
     * The submission is not admitted at the moment, as the admission table is stale or the token buckets are empty.
     *
     * @param retryAfterS whole seconds after which the user should repeat the submission
     */
    record RetryLater(int retryAfterS) implements AdmissionDecision {}
}
