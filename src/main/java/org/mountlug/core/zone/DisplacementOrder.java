package org.mountlug.core.zone;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Priority;

/**
 * The total order in which waiting jobs are placed, get rented machines and may preempt others while a zone is not present:
 * first the job classes that the operators name, in their order; then by priority; then by due time, where jobs that can no
 * longer be done in time follow those that can; then the oldest job first.
 */
public final class DisplacementOrder implements Comparator<Job> {
    private final List<String> classes;
    private final Comparator<Job> comparator;

    /**
     * Creates an order that puts some job classes ahead of all others.
     *
     * @param classes names of these job classes, the first one first
     * @param orderKey lower for a job that is to be done sooner
     */
    public DisplacementOrder(List<String> classes, ToDoubleFunction<Job> orderKey) {
        this.classes = classes;
        comparator = Comparator.comparingInt(this::level)
                .thenComparingDouble(orderKey)
                .thenComparingLong(job -> job.spec.submittedMs())
                .thenComparing(job -> job.spec.id());
    }

    /** Returns a job's level: the rank of its class or priority, 0 for the first. No job precedes one of a lower level. */
    public int level(Job job) {
        int classIndex = classes.indexOf(job.spec.jobClass());
        if (classIndex >= 0) {
            return classIndex;
        }
        return classes.size()
                + Priority.values().length
                - 1
                - job.spec.priority().ordinal();
    }

    /** Whether a job is so urgent that machines are rented for it at once, without waiting for the zone to return. */
    static boolean isUrgent(Job job, List<String> classes) {
        return classes.contains(job.spec.jobClass()) || job.spec.priority().compareTo(Priority.HIGH) >= 0;
    }

    @Override
    public int compare(Job first, Job second) {
        return comparator.compare(first, second);
    }
}
