package org.mountlug.core.admit;

import java.util.Map;
import org.mountlug.Constants;

/**
 * What the leader has published of admission: which queues are limited, by which schedules, and what all submissions together
 * may cost. Queues without a schedule are open.
 *
 * @param issuedMs epoch milliseconds at which it was published; 0 if none ever was
 * @param capacityPerS changes a second that submissions at all controllers together may cost
 */
public record AdmissionTable(long issuedMs, double capacityPerS, Map<QueueId, CursorSchedule> schedules) {
    /** Copies the schedules. */
    public AdmissionTable {
        schedules = Map.copyOf(schedules);
    }

    /** The table in force where none was published: every queue is open. */
    public static AdmissionTable empty() {
        return new AdmissionTable(0, 0, Map.of());
    }

    /** Whether any queue is limited at this time. */
    public boolean limitsAnyQueue(long nowMs) {
        return !schedules.isEmpty() && nowMs - issuedMs <= Constants.Admission.TABLE_TTL_MS;
    }

    /** The schedule of a queue at this time, or null if the queue is open. */
    public CursorSchedule schedule(QueueId queue, long nowMs) {
        return limitsAnyQueue(nowMs) ? schedules.get(queue) : null;
    }
}
