package org.mountlug.core.model;

import java.util.Collection;
import java.util.List;

/**
 * The specification of a job as submitted by a user; it never changes after the submission.
 *
 * @param tasks number of tasks
 * @param request what each task needs on its machine
 * @param machineTypes names of the machine types that the tasks may run on, null for any
 * @param zone the only zone that the tasks may run in, null for any
 * @param oneZone whether all tasks must run in the same zone
 * @param spreadAcrossZones whether at most half of the tasks, rounded up, may run in the same zone
 * @param spotAllowed whether the tasks may run on spot machines
 * @param imageGb size of the image in gigabytes
 * @param expectedRunS the user's estimate of a task's run time, in seconds
 * @param checkpointIntervalS seconds between two checkpoints of a task, 0 if it saves none
 * @param checkpointSaveS seconds that saving a checkpoint takes
 * @param deadlineS seconds after the submission by which the job should be done, {@code NaN} without a deadline
 * @param submittedMs epoch time of the submission, in milliseconds
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        JobType jobType,
        Priority priority,
        int tasks,
        Resources request,
        List<String> machineTypes,
        String zone,
        boolean oneZone,
        boolean spreadAcrossZones,
        boolean spotAllowed,
        String image,
        double imageGb,
        double expectedRunS,
        double checkpointIntervalS,
        double checkpointSaveS,
        double deadlineS,
        long submittedMs) {

    /** Whether the job is a gang: either all of its tasks run at the same time or none does. */
    public boolean isGang() {
        return jobType == JobType.GANG;
    }

    /** Whether the job is a service: its tasks never complete, so no capacity may be expected from their end. */
    public boolean isService() {
        return jobType == JobType.SERVICE;
    }

    /** Returns the sum of the resource requests of all tasks. */
    public Resources totalRequest() {
        return new Resources(request.cpus() * tasks, request.gpus() * tasks, request.ramGb() * tasks);
    }

    /** Returns this specification without the machine types that the cloud does not offer. */
    public JobSpec withOfferedMachineTypes(Collection<String> knownTypes) {
        if (machineTypes == null) {
            return this;
        }
        List<String> existingTypes =
                machineTypes.stream().filter(knownTypes::contains).distinct().toList();
        return new JobSpec(
                id,
                jobClass,
                team,
                jobType,
                priority,
                tasks,
                request,
                existingTypes,
                zone,
                oneZone,
                spreadAcrossZones,
                spotAllowed,
                image,
                imageGb,
                expectedRunS,
                checkpointIntervalS,
                checkpointSaveS,
                deadlineS,
                submittedMs);
    }

    /** Whether a task may run on an empty machine of this type in some zone. */
    public boolean canEverRunOn(MachineType type) {
        if (machineTypes != null && !machineTypes.contains(type.name())) {
            return false;
        }
        if (zone != null && !type.zones().contains(zone)) {
            return false;
        }
        return request.fitsIn(type.capacity());
    }

    /** Whether the specification allows a machine of this type, zone and market; free capacity is not checked. */
    public boolean allows(String type, String inZone, boolean isSpot) {
        return (machineTypes == null || machineTypes.contains(type))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !isSpot);
    }

    /** Returns the maximum number of tasks that may be in one zone at the same time. */
    public int maxTasksPerZone() {
        return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
    }

    /** Returns the name of a task in messages, such as {@code wk-000001/0}. */
    public String taskName(int task) {
        return id + "/" + task;
    }
}
