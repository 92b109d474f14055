package org.mountlug.core.cluster;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Urgency;

/** What accelerator work needs of a machine beside its accelerators, by the neediest job of each class in this term. */
final class AcceleratorNeeds {
    private final Map<String, JobSpec> neediest = new HashMap<>();

    /** Takes note of a job. */
    void add(JobSpec spec) {
        if (spec.need().gpus() > 0) {
            neediest.merge(
                    spec.lane(), spec, (a, b) -> a.need().cpus() >= b.need().cpus() ? a : b);
        }
    }

    /** What work of any priority needs of this type when it fills it. */
    Resources shareOfAll(MachineType type) {
        return share(type, null);
    }

    /**
     * The same of the neediest class that may take the place of another. Where none may, what runs beside is in nobody's
     * way.
     */
    Resources share(MachineType type) {
        Urgency least = Urgency.PROD;
        for (JobSpec spec : neediest.values()) {
            if (spec.urgency().compareTo(least) < 0) {
                least = spec.urgency();
            }
        }
        return share(type, least);
    }

    private Resources share(MachineType type, Urgency above) {
        Resources share = Resources.ZERO;
        if (type.size().gpus() <= 0) {
            return share;
        }
        for (JobSpec spec : neediest.values()) {
            Resources need = spec.need();
            if (!need.fitsIn(type.size()) || above != null && spec.urgency().compareTo(above) <= 0) {
                continue;
            }
            double count = need.countIn(type.size());
            share = new Resources(
                    Math.max(share.cpus(), need.cpus() * count), 0, Math.max(share.ramGb(), need.ramGb() * count));
        }
        return share;
    }
}
