package org.mountlug.core.model;

import java.util.Collection;
import java.util.List;

/** What a user asked for; never changes after submission. {@code types} and {@code zone} are null for any. */
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

    /** Whether all tasks run at the same time or none does. */
    public boolean isGang() {
        return jobType == JobType.GANG;
    }

    /** Whether its tasks never complete: nothing may count on one of them ending. */
    public boolean isService() {
        return jobType == JobType.SERVICE;
    }

    /** What all tasks take together. */
    public Resources totalRequest() {
        return new Resources(request.cpus() * tasks, request.gpus() * tasks, request.ramGb() * tasks);
    }

    /** The same job, with only those allowed types that exist: of the others no machine can be had. */
    public JobSpec withKnownMachineTypes(Collection<String> known) {
        if (machineTypes == null) {
            return this;
        }
        List<String> l =
                machineTypes.stream().filter(known::contains).distinct().toList();
        return new JobSpec(
                id,
                jobClass,
                team,
                jobType,
                priority,
                tasks,
                request,
                l,
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

    /** Whether one task may ever run on this type of machine. */
    public boolean canEverRunOn(MachineType t) {
        if (machineTypes != null && !machineTypes.contains(t.name())) {
            return false;
        }
        if (zone != null && !t.zones().contains(zone)) {
            return false;
        }
        return request.fitsIn(t.capacity());
    }

    /** Whether a task may start on this machine, its type, zone and kind considered; room is another question. */
    public boolean allows(String type, String inZone, boolean isSpot) {
        return (machineTypes == null || machineTypes.contains(type))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !isSpot);
    }

    /** The most tasks that may be in one zone at the same time. */
    public int maxTasksPerZone() {
        return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
    }

    /** The name of a task on the wire. */
    public String taskName(int task) {
        return id + "/" + task;
    }
}
