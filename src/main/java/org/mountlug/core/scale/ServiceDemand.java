package org.mountlug.core.scale;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;

/** How many replicas of services will soon be asked for, by what was lately asked for, and how many there is room for. */
final class ServiceDemand {
    private final Cluster cluster;

    ServiceDemand(Cluster cluster) {
        this.cluster = cluster;
    }

    /** By class of services lately asked for: its latest one, and how many replicas the time of a boot will ask for. */
    Map<JobSpec, Integer> expectedReplicas(double nowEpochS) {
        Map<String, JobSpec> latest = new LinkedHashMap<>();
        Map<String, Integer> asked = new HashMap<>();
        for (Job j : cluster.jobs.values()) {
            if (!j.spec.isService() || nowEpochS - j.spec.submittedMs() / 1000.0 > Constants.SERVICE_DEMAND_WINDOW_S) {
                continue;
            }
            latest.merge(j.spec.jobClass(), j.spec, (a, b) -> a.submittedMs() > b.submittedMs() ? a : b);
            asked.merge(j.spec.jobClass(), j.spec.tasks(), Integer::sum);
        }
        Map<JobSpec, Integer> out = new LinkedHashMap<>();
        for (JobSpec s : latest.values()) {
            double boot = Double.MAX_VALUE;
            for (MachineType t : cluster.types()) {
                if (s.canEverRunOn(t)) {
                    boot = Math.min(boot, t.bootS());
                }
            }
            double n =
                    asked.get(s.jobClass()) / Constants.SERVICE_DEMAND_WINDOW_S * (boot + Constants.SERVICE_HEADROOM_S);
            out.put(s, Math.max(s.tasks(), (int) Math.ceil(n)));
        }
        return out;
    }

    /** Whether any service is live. */
    boolean hasServices() {
        for (Job j : cluster.jobs.values()) {
            if (j.spec.isService()) {
                return true;
            }
        }
        return false;
    }

    /** How many replicas machines could hold that are there or coming, if all that ends made room for them. */
    int freeReplicaSlots(JobSpec s) {
        int n = 0;
        for (Machine m : cluster.machines.values()) {
            n += replicaSlots(m, s);
        }
        return n;
    }

    /** How many replicas this machine could hold. */
    static int replicaSlots(Machine m, JobSpec s) {
        if (m.type == null
                || m.beingReturned
                || m.quarantined
                || !Double.isNaN(m.reclaimAtS)
                || m.hasReported && m.unreachable) {
            return 0;
        }
        if (s.request().gpus() == 0 && m.type.capacity().gpus() > 0 || !s.allows(m.type.name(), m.zone, m.spot)) {
            return 0;
        }
        return s.request().countIn(m.type.capacity().minus(m.allocatedToServices()));
    }
}
