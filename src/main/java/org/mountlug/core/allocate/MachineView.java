package org.mountlug.core.allocate;

import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.zone.StartBudget;

/** A machine as one round sees it: statements change this view, and only a commit reaches the cluster. */
public final class MachineView {
    public final Machine machine;
    public Resources free;
    public Resources releasing;
    public Resources reserved = Resources.ZERO;
    /** What this round has given to work without accelerators. */
    public Resources givenToCpuWork = Resources.ZERO;

    /** What a whole machine's worth of accelerator work needs beside the accelerators, of the neediest class seen. */
    private final Resources acceleratorShare;

    /** The same of any class: what a service leaves, as it stays for as long as its user orders. */
    private final Resources acceleratorShareOfAll;

    /** Starts that its zone may still get in this round, null without a limit. */
    private StartBudget budget;

    /** A view of a machine on which nothing is kept for accelerator work. */
    public MachineView(Machine m) {
        this(m, Resources.ZERO, Resources.ZERO);
    }

    /** A view of a machine that keeps these parts of it for accelerator work, of higher priority and of any. */
    public MachineView(Machine m, Resources acceleratorShare, Resources acceleratorShareOfAll) {
        this.acceleratorShare = acceleratorShare;
        this.acceleratorShareOfAll = acceleratorShareOfAll;
        machine = m;
        Resources size = m.type == null ? Resources.ZERO : m.type.capacity();
        // A stray's size may be unknown; nothing is placed beside one until it is gone.
        free = m.orphans.isEmpty() ? size.minus(m.allocated()) : Resources.ZERO;
        releasing = m.releasingCapacity();
    }

    /** Limits the starts on this machine and all others with the same budget. */
    void setStartBudget(StartBudget zoneBudget) {
        budget = zoneBudget;
    }

    /** Whether its zone gets only a part of the starts that there is room for. */
    boolean hasStartBudget() {
        return budget != null;
    }

    /** Takes a start from the zone's budget. */
    void takeStart() {
        if (budget != null) {
            budget.take();
        }
    }

    /** Gives a start back to the zone's budget. */
    void giveStartBack() {
        if (budget != null) {
            budget.giveBack();
        }
    }

    private int withinBudget(int count) {
        return budget == null ? count : Math.min(count, budget.left());
    }

    /** The design's future room. */
    public Resources futureFree() {
        return free.plus(releasing).minus(reserved);
    }

    /** Whether a task fits now without taking what a reservation counts on. */
    public boolean fitsNow(Resources request) {
        return withinBudget(1) > 0 && request.fitsIn(free) && request.fitsIn(futureFree());
    }

    /**
     * How many tasks fit now. Work without accelerators gets only the part of an accelerator machine that its free
     * accelerators do not need in proportion, or the accelerator machines fill up with what runs anywhere.
     */
    public int countFittingNow(Resources request) {
        return countFittingNow(request, false);
    }

    /** The same; overflowing work may have the whole machine. */
    public int countFittingNow(Resources request, boolean overflowing) {
        Resources f = futureFree();
        Resources room = new Resources(
                Math.min(free.cpus(), f.cpus()), Math.min(free.gpus(), f.gpus()), Math.min(free.ramGb(), f.ramGb()));
        Resources size = machine.type == null ? Resources.ZERO : machine.type.capacity();
        if (!overflowing && request.gpus() == 0 && size.gpus() > 0) {
            double part = Math.max(0, room.gpus()) / size.gpus();
            room = room.minus(new Resources(size.cpus() * part, 0, size.ramGb() * part));
            // What runs beside accelerator work must not be in the way of a gang that could take its place.
            Resources beside = size.minus(acceleratorShare);
            for (Placement p : machine.placements.values()) {
                if (p.job.spec.request().gpus() == 0 && !p.standby) {
                    beside = beside.minus(p.job.spec.request());
                }
            }
            beside = beside.minus(new Resources(givenToCpuWork.cpus(), 0, givenToCpuWork.ramGb()));
            room = new Resources(
                    Math.min(room.cpus(), beside.cpus()), room.gpus(), Math.min(room.ramGb(), beside.ramGb()));
        }
        return withinBudget(request.countIn(room));
    }

    /** How many replicas fit now: on an accelerator machine only beside all the accelerator work that it could hold. */
    public int countReplicasFittingNow(Resources request) {
        if (request.gpus() > 0 || machine.type.capacity().gpus() == 0 || acceleratorShareOfAll.isZero()) {
            return countFittingNow(request);
        }
        Resources f = futureFree();
        Resources beside = machine.type.capacity().minus(acceleratorShareOfAll).minus(givenToCpuWork);
        for (Placement p : machine.placements.values()) {
            if (p.job.spec.request().gpus() == 0 && !p.standby) {
                beside = beside.minus(p.job.spec.request());
            }
        }
        return withinBudget(request.countIn(new Resources(
                Math.min(Math.min(free.cpus(), f.cpus()), beside.cpus()),
                0,
                Math.min(Math.min(free.ramGb(), f.ramGb()), beside.ramGb()))));
    }

    /** The share of the machine that is taken, by its scarcest resource. */
    public double utilization() {
        Resources size = machine.type.capacity();
        return size.minus(free).dominantShareOf(size);
    }
}
