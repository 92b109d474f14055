package org.mountlug.core.allocate;

import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.zone.StartBudget;

/** One round's view of a machine's capacity. Placement transactions change only the view until they are committed. */
public final class MachineView {
    public final Machine machine;
    public Resources free;
    public Resources releasing;
    public Resources reserved = Resources.ZERO;
    /** Capacity that this round has allocated to CPU-only tasks. */
    public Resources allocatedToCpuWork = Resources.ZERO;

    /**
     * CPU and memory that accelerator work needs when it fills the machine, by the most demanding job class whose
     * priority lets it preempt other accelerator work.
     */
    private final Resources preemptingHostDemand;

    /**
     * CPU and memory that accelerator work of any priority needs when it fills the machine. Replicas leave this free,
     * because they run until their user cancels the service.
     */
    private final Resources hostDemand;

    /** Starts that this round may still place in the machine's zone, or null without a limit. */
    private StartBudget startBudget;

    /** Creates a view of a machine on which no capacity is kept for accelerator work. */
    public MachineView(Machine machine) {
        this(machine, Resources.ZERO, Resources.ZERO);
    }

    /**
     * Creates a view of a machine that keeps capacity for accelerator work.
     *
     * @param preemptingHostDemand CPU and memory kept from CPU-only tasks for preempting accelerator work
     * @param hostDemand CPU and memory kept from replicas for accelerator work of any priority
     */
    public MachineView(Machine machine, Resources preemptingHostDemand, Resources hostDemand) {
        this.preemptingHostDemand = preemptingHostDemand;
        this.hostDemand = hostDemand;
        this.machine = machine;
        Resources capacity = machine.type == null ? Resources.ZERO : machine.type.capacity();
        // The request of an orphan may be unknown, so a machine with orphans counts as full.
        free = machine.orphans.isEmpty() ? capacity.minus(machine.allocated()) : Resources.ZERO;
        releasing = machine.releasingCapacity();
    }

    /** Limits the starts on this machine together with those on all machines that share the budget; null for no limit. */
    void setStartBudget(StartBudget zoneBudget) {
        startBudget = zoneBudget;
    }

    /** Whether the number of starts in the machine's zone is limited in this round. */
    boolean hasStartBudget() {
        return startBudget != null;
    }

    /** Takes one start from the zone's budget, if there is one. */
    void consumeStart() {
        if (startBudget != null) {
            startBudget.take();
        }
    }

    /** Gives one start back to the zone's budget, if there is one. */
    void returnStart() {
        if (startBudget != null) {
            startBudget.giveBack();
        }
    }

    private int limitByStartBudget(int count) {
        return startBudget == null ? count : Math.min(count, startBudget.left());
    }

    /** Returns the capacity that is free or releasing, less what is reserved. */
    public Resources futureFree() {
        return free.plus(releasing).minus(reserved);
    }

    /** Whether a task fits on free capacity without using what reservations count on. */
    public boolean fitsNow(Resources request) {
        return limitByStartBudget(1) > 0 && request.fitsIn(free) && request.fitsIn(futureFree());
    }

    /**
     * Returns how many tasks fit now. On an accelerator machine, CPU and memory in proportion to the free accelerators are
     * kept from CPU-only tasks; otherwise accelerator machines would fill up with work that can run on any machine.
     */
    public int countFittingNow(Resources request) {
        return countFittingNow(request, false);
    }

    /** Returns how many tasks fit now; an overflowing CPU-only job may use the whole of an accelerator machine. */
    public int countFittingNow(Resources request, boolean overflowing) {
        Resources futureFree = futureFree();
        Resources available = new Resources(
                Math.min(free.cpus(), futureFree.cpus()),
                Math.min(free.gpus(), futureFree.gpus()),
                Math.min(free.ramGb(), futureFree.ramGb()));
        Resources capacity = machine.type == null ? Resources.ZERO : machine.type.capacity();
        if (!overflowing && request.gpus() == 0 && capacity.gpus() > 0) {
            double freeAcceleratorShare = Math.max(0, available.gpus()) / capacity.gpus();
            available = available.minus(
                    new Resources(capacity.cpus() * freeAcceleratorShare, 0, capacity.ramGb() * freeAcceleratorShare));
            // CPU-only tasks must leave capacity for an accelerator gang that may preempt the accelerator work beside
            // them.
            Resources leftForCpuWork = capacity.minus(preemptingHostDemand);
            for (Placement placement : machine.placements.values()) {
                if (placement.job.spec.request().gpus() == 0 && !placement.standby) {
                    leftForCpuWork = leftForCpuWork.minus(placement.job.spec.request());
                }
            }
            leftForCpuWork =
                    leftForCpuWork.minus(new Resources(allocatedToCpuWork.cpus(), 0, allocatedToCpuWork.ramGb()));
            available = new Resources(
                    Math.min(available.cpus(), leftForCpuWork.cpus()),
                    available.gpus(),
                    Math.min(available.ramGb(), leftForCpuWork.ramGb()));
        }
        return limitByStartBudget(request.countIn(available));
    }

    /**
     * Returns how many replicas fit now. CPU-only replicas get only the part of an accelerator machine that no accelerator
     * work would need.
     */
    public int countReplicasFittingNow(Resources request) {
        if (request.gpus() > 0 || machine.type.capacity().gpus() == 0 || hostDemand.isZero()) {
            return countFittingNow(request);
        }
        Resources futureFree = futureFree();
        Resources leftForCpuWork = machine.type.capacity().minus(hostDemand).minus(allocatedToCpuWork);
        for (Placement placement : machine.placements.values()) {
            if (placement.job.spec.request().gpus() == 0 && !placement.standby) {
                leftForCpuWork = leftForCpuWork.minus(placement.job.spec.request());
            }
        }
        return limitByStartBudget(request.countIn(new Resources(
                Math.min(Math.min(free.cpus(), futureFree.cpus()), leftForCpuWork.cpus()),
                0,
                Math.min(Math.min(free.ramGb(), futureFree.ramGb()), leftForCpuWork.ramGb()))));
    }

    /** Returns the share of the machine that is not free, by the resource of which the largest share is used. */
    public double utilization() {
        Resources capacity = machine.type.capacity();
        return capacity.minus(free).dominantShareOf(capacity);
    }
}
