package org.mountlug.core.admit;

import java.util.Map;
import org.mountlug.Constants;

/**
 * The admission table that the leader publishes: which queues are limited, by which schedules, and how many writes all
 * submissions together may cause. Queues without a schedule are not limited.
 *
 * @param issuedMs epoch milliseconds at which the table was published; 0 if none ever was
 * @param capacityPerS writes per second that submissions at all controllers together may cause
 */
public record AdmissionTable(long issuedMs, double capacityPerS, Map<QueueId, CursorSchedule> schedules) {
    /** Copies the schedules, so that the table is immutable. */
    public AdmissionTable {
        schedules = Map.copyOf(schedules);
    }

    /** Returns the table that applies before one has been published: no queue is limited. */
    public static AdmissionTable empty() {
        return new AdmissionTable(0, 0, Map.of());
    }

    /** Whether any queue is limited at this time; an expired table limits none. */
    public boolean limitsAnyQueue(long nowMs) {
        return !schedules.isEmpty() && nowMs - issuedMs <= Constants.Admission.TABLE_TTL_MS;
    }

    /** Returns the schedule of a queue at this time, or null if the queue is not limited. */
    public CursorSchedule schedule(QueueId queue, long nowMs) {
        return limitsAnyQueue(nowMs) ? schedules.get(queue) : null;
    }
}
