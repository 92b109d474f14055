package org.mountlug.core.admit;

/** What becomes of a submission that can run. */
public sealed interface AdmissionDecision {
    /** Its record may be written now. */
    record Admit() implements AdmissionDecision {}

    /**
     * It is to come back after so many whole seconds.
     *
     * @param turnMs epoch milliseconds of its turn as scheduled so far
     * @param turnIsFinal whether that turn can no longer move, so that it is admitted when it comes back
     */
    record Defer(int retryAfterS, long turnMs, boolean turnIsFinal) implements AdmissionDecision {}

    /** This controller's request budget is spent; it is to come back soon. */
    record RateLimited() implements AdmissionDecision {}

    /** Nothing can be said of it at the moment; it is to come back after so many whole seconds. */
    record RetryLater(int retryAfterS) implements AdmissionDecision {}
}
