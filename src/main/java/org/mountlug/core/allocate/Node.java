package org.mountlug.core.allocate;

import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.zone.StartBudget;

/** A machine as one round sees it: statements change this view, and only a commit reaches the cluster. */
public final class Node {
    public final Machine machine;
    public Resources idle;
    public Resources releasing;
    public Resources pipelined = Resources.ZERO;
    /** What this round has given to work without accelerators. */
    public Resources taken = Resources.ZERO;

    /** What a whole machine's worth of accelerator work needs beside the accelerators, of the neediest class seen. */
    private final Resources acceleratorShare;

    /** The same of any class: what a service leaves, as it stays for as long as its user orders. */
    private final Resources acceleratorShareOfAll;

    /** Starts that its zone may still get in this round, null without a limit. */
    private StartBudget budget;

    /** A view of a machine on which nothing is kept for accelerator work. */
    public Node(Machine m) {
        this(m, Resources.ZERO, Resources.ZERO);
    }

    /** A view of a machine that keeps these parts of it for accelerator work, of higher priority and of any. */
    public Node(Machine m, Resources acceleratorShare, Resources acceleratorShareOfAll) {
        this.acceleratorShare = acceleratorShare;
        this.acceleratorShareOfAll = acceleratorShareOfAll;
        machine = m;
        Resources size = m.type == null ? Resources.ZERO : m.type.size();
        // A stray's size may be unknown; nothing is placed beside one until it is gone.
        idle = m.strays.isEmpty() ? size.minus(m.used()) : Resources.ZERO;
        releasing = m.stopping();
    }

    /** Limits the starts on this machine and all others with the same budget. */
    void limit(StartBudget zoneBudget) {
        budget = zoneBudget;
    }

    /** Whether its zone gets only a part of the starts that there is room for. */
    boolean limited() {
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
    public Resources future() {
        return idle.plus(releasing).minus(pipelined);
    }

    /** Whether a task fits now without taking what a reservation counts on. */
    public boolean fitsNow(Resources need) {
        return withinBudget(1) > 0 && need.fitsIn(idle) && need.fitsIn(future());
    }

    /**
     * How many tasks fit now. Work without accelerators gets only the part of an accelerator machine that its free
     * accelerators do not need in proportion, or the accelerator machines fill up with what runs anywhere.
     */
    public int countNow(Resources need) {
        return countNow(need, false);
    }

    /** The same; overflowing work may have the whole machine. */
    public int countNow(Resources need, boolean overflowing) {
        Resources f = future();
        Resources room = new Resources(
                Math.min(idle.cpus(), f.cpus()), Math.min(idle.gpus(), f.gpus()), Math.min(idle.ramGb(), f.ramGb()));
        Resources size = machine.type == null ? Resources.ZERO : machine.type.size();
        if (!overflowing && need.gpus() == 0 && size.gpus() > 0) {
            double part = Math.max(0, room.gpus()) / size.gpus();
            room = room.minus(new Resources(size.cpus() * part, 0, size.ramGb() * part));
            // What runs beside accelerator work must not be in the way of a gang that could take its place.
            Resources beside = size.minus(acceleratorShare);
            for (Placement p : machine.placed.values()) {
                if (p.job.spec.need().gpus() == 0 && !p.standby) {
                    beside = beside.minus(p.job.spec.need());
                }
            }
            beside = beside.minus(new Resources(taken.cpus(), 0, taken.ramGb()));
            room = new Resources(
                    Math.min(room.cpus(), beside.cpus()), room.gpus(), Math.min(room.ramGb(), beside.ramGb()));
        }
        return withinBudget(need.countIn(room));
    }

    /** How many replicas fit now: on an accelerator machine only beside all the accelerator work that it could hold. */
    public int countBeside(Resources need) {
        if (need.gpus() > 0 || machine.type.size().gpus() == 0 || acceleratorShareOfAll.isZero()) {
            return countNow(need);
        }
        Resources f = future();
        Resources beside = machine.type.size().minus(acceleratorShareOfAll).minus(taken);
        for (Placement p : machine.placed.values()) {
            if (p.job.spec.need().gpus() == 0 && !p.standby) {
                beside = beside.minus(p.job.spec.need());
            }
        }
        return withinBudget(need.countIn(new Resources(
                Math.min(Math.min(idle.cpus(), f.cpus()), beside.cpus()),
                0,
                Math.min(Math.min(idle.ramGb(), f.ramGb()), beside.ramGb()))));
    }

    /** The share of the machine that is taken, by its scarcest resource. */
    public double busyShare() {
        Resources size = machine.type.size();
        return size.minus(idle).shareOf(size);
    }
}
