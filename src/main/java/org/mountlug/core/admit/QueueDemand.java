package org.mountlug.core.admit;

/**
 * What a controller has counted of a queue since its process began.
 *
 * @param submissions submissions, repetitions included
 * @param arrivals of these, how many came to an open queue or were met by the cursor, each counted about once
 * @param throttled how many were turned away though their queue was open or their turn had come, as the token buckets were empty
 */
public record QueueDemand(QueueId queue, int submissions, int arrivals, int throttled) {
    /** What was counted since an earlier look, which may be of a process that has ended, or null. */
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
