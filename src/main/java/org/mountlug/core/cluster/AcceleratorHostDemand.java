package org.mountlug.core.cluster;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;

/** What accelerator work needs of a machine beside its accelerators, by the neediest job of each class in this term. */
final class AcceleratorHostDemand {
    private final Map<String, JobSpec> neediest = new HashMap<>();

    /** Takes note of a job. */
    void add(JobSpec spec) {
        if (spec.request().gpus() > 0) {
            neediest.merge(
                    spec.jobClass(),
                    spec,
                    (a, b) -> a.request().cpus() >= b.request().cpus() ? a : b);
        }
    }

    /** What work of any priority needs of this type when it fills it. */
    Resources ofAllPriorities(MachineType type) {
        return ofPreemptingPriorities(type, null);
    }

    /**
     * The same of the neediest class that may take the place of another. Where none may, what runs beside is in nobody's
     * way.
     */
    Resources ofPreemptingPriorities(MachineType type) {
        Priority least = Priority.PROD;
        for (JobSpec spec : neediest.values()) {
            if (spec.priority().compareTo(least) < 0) {
                least = spec.priority();
            }
        }
        return ofPreemptingPriorities(type, least);
    }

    private Resources ofPreemptingPriorities(MachineType type, Priority above) {
        Resources share = Resources.ZERO;
        if (type.capacity().gpus() <= 0) {
            return share;
        }
        for (JobSpec spec : neediest.values()) {
            Resources need = spec.request();
            if (!need.fitsIn(type.capacity())
                    || above != null && spec.priority().compareTo(above) <= 0) {
                continue;
            }
            double count = need.countIn(type.capacity());
            share = new Resources(
                    Math.max(share.cpus(), need.cpus() * count), 0, Math.max(share.ramGb(), need.ramGb() * count));
        }
        return share;
    }
}
