package org.mountlug.core.admit;

/**
 * What a controller has counted of a queue since its process began.
 *
 * @param asked submissions, repetitions included
 * @param met of these, how many came to an open queue or were met by the cursor, each counted about once
 * @param refused how many were turned away though their queue was open or their turn had come, as the token buckets were empty
 */
public record QueueDemand(QueueId queue, int asked, int met, int refused) {
    /** What was counted since an earlier look, which may be of a process that has ended, or null. */
    QueueDemand since(QueueDemand earlier) {
        if (earlier == null || asked < earlier.asked || met < earlier.met || refused < earlier.refused) {
            return this;
        }
        return new QueueDemand(queue, asked - earlier.asked, met - earlier.met, refused - earlier.refused);
    }
}
