package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Reservation;

/**
 * The tentative placements of one job in one round. They take capacity in the round's machine views at once;
 * {@code RoundState.commit} turns them into placements, {@link #discard} releases their capacity.
 */
public final class PlacementTransaction {
    /** The machine tentatively chosen for a task; {@code reserved} if its capacity is reserved and not allocated. */
    public record Assignment(int task, MachineView machineView, boolean reserved) {}

    public final Job job;
    private final List<Assignment> assignments = new ArrayList<>();

    /** Creates an empty transaction for one job. */
    public PlacementTransaction(Job job) {
        this.job = job;
    }

    /** Allocates free capacity of a machine to a task. */
    public void allocate(int task, MachineView machineView) {
        machineView.consumeStart();
        machineView.free = machineView.free.minus(job.spec.request());
        if (job.spec.request().gpus() == 0) {
            machineView.allocatedToCpuWork = machineView.allocatedToCpuWork.plus(job.spec.request());
        }
        assignments.add(new Assignment(task, machineView, false));
    }

    /** Reserves future free capacity of a machine for a task. */
    public void reserve(int task, MachineView machineView) {
        machineView.reserved = machineView.reserved.plus(job.spec.request());
        assignments.add(new Assignment(task, machineView, true));
    }

    /** Returns the assignments in the order in which they were made. */
    public List<Assignment> assignments() {
        return assignments;
    }

    /** Returns how many tasks have free capacity allocated. */
    public int allocatedCount() {
        int count = 0;
        for (Assignment assignment : assignments) {
            if (!assignment.reserved()) {
                count++;
            }
        }
        return count;
    }

    /** Whether at least {@code minTasks} tasks have free capacity allocated. */
    public boolean isReady(int minTasks) {
        return allocatedCount() >= minTasks;
    }

    /** Whether at least {@code minTasks} tasks have capacity allocated or reserved. */
    public boolean isReservable(int minTasks) {
        return assignments.size() >= minTasks;
    }

    /**
     * Turns all assignments into reservations and returns them. Allocated free capacity is reserved as well; otherwise
     * other jobs could take it before the capacity for the gang's last task is free, and the gang would start over.
     */
    public List<Reservation> toReservations() {
        List<Reservation> reservations = new ArrayList<>();
        for (Assignment assignment : assignments) {
            if (!assignment.reserved()) {
                assignment.machineView().returnStart();
                assignment.machineView().free = assignment.machineView().free.plus(job.spec.request());
                assignment.machineView().reserved =
                        assignment.machineView().reserved.plus(job.spec.request());
            }
            reservations.add(new Reservation(assignment.task(), assignment.machineView().machine.name));
        }
        return reservations;
    }

    /** Releases all capacity that this transaction allocated or reserved. */
    public void discard() {
        for (int i = assignments.size() - 1; i >= 0; i--) {
            Assignment assignment = assignments.get(i);
            if (assignment.reserved()) {
                assignment.machineView().reserved =
                        assignment.machineView().reserved.minus(job.spec.request());
            } else {
                assignment.machineView().returnStart();
                assignment.machineView().free = assignment.machineView().free.plus(job.spec.request());
            }
        }
        assignments.clear();
    }
}
