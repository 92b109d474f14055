package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Reservation;

/**
 * The tentative placements of one job in one round. They take room in the round's view at once; a commit keeps them,
 * a discard gives everything back.
 */
public final class PlacementTransaction {
    /** One task tried: {@code pipelined} if it only has future room. */
    public record Assignment(int task, MachineView machineView, boolean reserved) {}

    public final Job job;
    private final List<Assignment> assignments = new ArrayList<>();

    /** Begins to try one job. */
    public PlacementTransaction(Job job) {
        this.job = job;
    }

    /** Gives idle room to a task. */
    public void allocate(int task, MachineView n) {
        n.takeStart();
        n.free = n.free.minus(job.spec.request());
        if (job.spec.request().gpus() == 0) {
            n.givenToCpuWork = n.givenToCpuWork.plus(job.spec.request());
        }
        assignments.add(new Assignment(task, n, false));
    }

    /** Reserves room that is being released for a task. */
    public void reserve(int task, MachineView n) {
        n.reserved = n.reserved.plus(job.spec.request());
        assignments.add(new Assignment(task, n, true));
    }

    /** What has been tried so far, in order. */
    public List<Assignment> assignments() {
        return assignments;
    }

    /** How many tasks have been given idle room. */
    public int allocatedCount() {
        int k = 0;
        for (Assignment o : assignments) {
            if (!o.reserved()) {
                k++;
            }
        }
        return k;
    }

    /** Ready: every task the job needs at once has its room now. */
    public boolean isReady(int minTasks) {
        return allocatedCount() >= minTasks;
    }

    /** Pipelined: placed and pipelined tasks together reach the least. */
    public boolean isReservable(int minTasks) {
        return assignments.size() >= minTasks;
    }

    /**
     * Keeps a pipelined job's whole statement as reservations. Idle room that some tasks found is reserved too, or
     * the gang would start over when the last task's room comes free.
     */
    public List<Reservation> toReservations() {
        List<Reservation> l = new ArrayList<>();
        for (Assignment o : assignments) {
            if (!o.reserved()) {
                o.machineView().giveStartBack();
                o.machineView().free = o.machineView().free.plus(job.spec.request());
                o.machineView().reserved = o.machineView().reserved.plus(job.spec.request());
            }
            l.add(new Reservation(o.task(), o.machineView().machine.name));
        }
        return l;
    }

    /** Gives back all room that was taken. */
    public void discard() {
        for (int i = assignments.size() - 1; i >= 0; i--) {
            Assignment o = assignments.get(i);
            if (o.reserved()) {
                o.machineView().reserved = o.machineView().reserved.minus(job.spec.request());
            } else {
                o.machineView().giveStartBack();
                o.machineView().free = o.machineView().free.plus(job.spec.request());
            }
        }
        assignments.clear();
    }
}
