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

/** Estimates from recent submissions how many service replicas will soon be requested, and counts the slots for them. */
final class ServiceDemand {
    private final Cluster cluster;

    ServiceDemand(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Returns, for each job class with recently submitted services, the latest of these services and the number of replicas
     * expected to be requested while a machine boots.
     */
    Map<JobSpec, Integer> expectedReplicas(double nowEpochS) {
        Map<String, JobSpec> latestByClass = new LinkedHashMap<>();
        Map<String, Integer> requestedByClass = new HashMap<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.spec.isService()
                    || nowEpochS - job.spec.submittedMs() / 1000.0 > Constants.SERVICE_DEMAND_WINDOW_S) {
                continue;
            }
            latestByClass.merge(job.spec.jobClass(), job.spec, (a, b) -> a.submittedMs() > b.submittedMs() ? a : b);
            requestedByClass.merge(job.spec.jobClass(), job.spec.tasks(), Integer::sum);
        }
        Map<JobSpec, Integer> expected = new LinkedHashMap<>();
        for (JobSpec spec : latestByClass.values()) {
            double minBootS = Double.MAX_VALUE;
            for (MachineType type : cluster.types()) {
                if (spec.canEverRunOn(type)) {
                    minBootS = Math.min(minBootS, type.bootS());
                }
            }
            double replicas = requestedByClass.get(spec.jobClass())
                    / Constants.SERVICE_DEMAND_WINDOW_S
                    * (minBootS + Constants.SERVICE_HEADROOM_S);
            expected.put(spec, Math.max(spec.tasks(), (int) Math.ceil(replicas)));
        }
        return expected;
    }

    /** Whether any service is live. */
    boolean hasServices() {
        for (Job job : cluster.jobs.values()) {
            if (job.spec.isService()) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many replicas the machines that are up or boot could hold if all array and gang tasks were gone. */
    int freeReplicaSlots(JobSpec spec) {
        int slots = 0;
        for (Machine machine : cluster.machines.values()) {
            slots += replicaSlots(machine, spec);
        }
        return slots;
    }

    /** Returns how many replicas this machine could hold beside those it has, ignoring array and gang tasks. */
    static int replicaSlots(Machine machine, JobSpec spec) {
        if (machine.type == null
                || machine.beingReturned
                || machine.quarantined
                || !Double.isNaN(machine.reclaimAtS)
                || machine.hasReported && machine.unreachable) {
            return 0;
        }
        if (spec.request().gpus() == 0 && machine.type.capacity().gpus() > 0
                || !spec.allows(machine.type.name(), machine.zone, machine.spot)) {
            return 0;
        }
        return spec.request().countIn(machine.type.capacity().minus(machine.allocatedToServices()));
    }
}
