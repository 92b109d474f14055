package org.mountlug.core.admit;

/**
 * A controller's counts for a queue since its process began.
 *
 * @param submissions submissions, repetitions included
 * @param arrivals submissions, each counted about once: those to a queue without a limit, and those at their turn in a
 *     limited queue
 * @param throttled submissions rejected because the token buckets were empty, though their queue was not limited or
 *     their turn had come
 */
public record QueueDemand(QueueId queue, int submissions, int arrivals, int throttled) {
    /**
     * Returns the counts since earlier ones. If those are null, or higher because a process that has ended counted
     * them, all counts are new.
     */
    QueueDemand since(QueueDemand earlier) {
        if (earlier == null
                || submissions < earlier.submissions
                || arrivals < earlier.arrivals
                || throttled < earlier.throttled) {
            return this;
        }
        return new QueueDemand(
                queue, submissions - earlier.submissions, arrivals - earlier.arrivals, throttled - earlier.throttled);
    }
}
