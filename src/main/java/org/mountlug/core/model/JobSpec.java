package org.mountlug.core.model;

import java.util.Collection;
import java.util.List;

/** What a user asked for; never changes after submission. {@code types} and {@code zone} are null for any. */
public record JobSpec(
        String id,
        String lane,
        String team,
        Shape shape,
        Urgency urgency,
        int tasks,
        Resources need,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean apart,
        boolean spot,
        String image,
        double imageGb,
        double expectedS,
        double checkpointS,
        double saveS,
        double deadlineS,
        long submittedMs) {

    /** Whether all tasks run at the same time or none does. */
    public boolean gang() {
        return shape == Shape.GANG;
    }

    /** Whether its tasks never complete: nothing may count on one of them ending. */
    public boolean service() {
        return shape == Shape.SERVICE;
    }

    /** What all tasks take together. */
    public Resources whole() {
        return new Resources(need.cpus() * tasks, need.gpus() * tasks, need.ramGb() * tasks);
    }

    /** The same job, with only those allowed types that exist: of the others no machine can be had. */
    public JobSpec narrowed(Collection<String> known) {
        if (types == null) {
            return this;
        }
        List<String> l = types.stream().filter(known::contains).distinct().toList();
        return new JobSpec(
                id,
                lane,
                team,
                shape,
                urgency,
                tasks,
                need,
                l,
                zone,
                oneZone,
                apart,
                spot,
                image,
                imageGb,
                expectedS,
                checkpointS,
                saveS,
                deadlineS,
                submittedMs);
    }

    /** Whether one task may ever run on this type of machine. */
    public boolean allows(MachineType t) {
        if (types != null && !types.contains(t.name())) {
            return false;
        }
        if (zone != null && !t.zones().contains(zone)) {
            return false;
        }
        return need.fitsIn(t.size());
    }

    /** Whether a task may start on this machine, its type, zone and kind considered; room is another question. */
    public boolean allows(String type, String inZone, boolean isSpot) {
        return (types == null || types.contains(type)) && (zone == null || zone.equals(inZone)) && (spot || !isSpot);
    }

    /** The most tasks that may be in one zone at the same time. */
    public int zoneMost() {
        return apart ? (tasks + 1) / 2 : tasks;
    }

    /** The name of a task on the wire. */
    public String taskName(int task) {
        return id + "/" + task;
    }
}
