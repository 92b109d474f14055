package org.mountlug.core.cluster;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;

/**
 * The CPUs and memory that accelerator tasks need on a machine beside its accelerators, computed from the job of each class
 * in this term that requests the most CPUs.
 */
final class AcceleratorHostDemand {
    /** By class: the specification of the job with accelerators that requests the most CPUs for a task. */
    private final Map<String, JobSpec> mostDemandingByClass = new HashMap<>();

    /** Adds a job; one without accelerators is ignored. */
    void add(JobSpec spec) {
        if (spec.request().gpus() > 0) {
            mostDemandingByClass.merge(
                    spec.jobClass(),
                    spec,
                    (a, b) -> a.request().cpus() >= b.request().cpus() ? a : b);
        }
    }

    /** Returns the demand of accelerator tasks of any priority that fill a machine of this type. */
    Resources ofAllPriorities(MachineType type) {
        return ofPrioritiesAbove(type, null);
    }

    /**
     * Returns the demand of accelerator tasks that fill a machine of this type and may preempt other accelerator tasks, as
     * their priority is above the lowest one. Without such tasks the demand is zero, as CPU-only work on the machine then
     * obstructs no task that could preempt others.
     */
    Resources ofPreemptingPriorities(MachineType type) {
        Priority lowest = Priority.PROD;
        for (JobSpec spec : mostDemandingByClass.values()) {
            if (spec.priority().compareTo(lowest) < 0) {
                lowest = spec.priority();
            }
        }
        return ofPrioritiesAbove(type, lowest);
    }

    /** Returns the demand of accelerator tasks of priorities above {@code lowest}, or of all priorities if it is null. */
    private Resources ofPrioritiesAbove(MachineType type, Priority lowest) {
        Resources demand = Resources.ZERO;
        if (type.capacity().gpus() <= 0) {
            return demand;
        }
        for (JobSpec spec : mostDemandingByClass.values()) {
            Resources request = spec.request();
            if (!request.fitsIn(type.capacity())
                    || lowest != null && spec.priority().compareTo(lowest) <= 0) {
                continue;
            }
            double count = request.countIn(type.capacity());
            demand = new Resources(
                    Math.max(demand.cpus(), request.cpus() * count),
                    0,
                    Math.max(demand.ramGb(), request.ramGb() * count));
        }
        return demand;
    }
}
