package org.mountlug.core.zone;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Priority;

/**
 * The total order in which waiting work is placed, rented for and given room by preemption while a zone is lost or returning:
 * classes that the operators name, in their order; then by priority; then by when the job is due, jobs that can no longer be
 * in time after those that can; then the oldest first.
 */
public final class DisplacementOrder implements Comparator<Job> {
    private final List<String> classes;
    private final Comparator<Job> comparator;

    /** Places these classes ahead of all others; {@code dueOrder} is lower the sooner a job must be done. */
    public DisplacementOrder(List<String> classes, ToDoubleFunction<Job> dueOrder) {
        this.classes = classes;
        comparator = Comparator.comparingInt(this::level)
                .thenComparingDouble(dueOrder)
                .thenComparingLong(job -> job.spec.submittedMs())
                .thenComparing(job -> job.spec.id());
    }

    /** The rank of a job's class or priority, the first one 0: nothing of a later level goes ahead of an earlier one. */
    public int level(Job job) {
        int named = classes.indexOf(job.spec.jobClass());
        if (named >= 0) {
            return named;
        }
        return classes.size()
                + Priority.values().length
                - 1
                - job.spec.priority().ordinal();
    }

    /** Whether a job is urgent enough for machines to be rented for it at once, however long the zone may stay away. */
    static boolean isUrgent(Job job, List<String> classes) {
        return classes.contains(job.spec.jobClass()) || job.spec.priority().compareTo(Priority.HIGH) >= 0;
    }

    @Override
    public int compare(Job first, Job second) {
        return comparator.compare(first, second);
    }
}
