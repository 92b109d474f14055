package org.mountlug.core.allocate;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Reservation;

/**
 * The tentative placements of one job in one round. They take room in the round's view at once; a commit keeps them,
 * a discard gives everything back.
 */
public final class Statement {
    /** One task tried: {@code pipelined} if it only has future room. */
    public record Op(int task, Node node, boolean pipelined) {}

    public final Job job;
    private final List<Op> ops = new ArrayList<>();

    /** Begins to try one job. */
    public Statement(Job job) {
        this.job = job;
    }

    /** Gives idle room to a task. */
    public void allocate(int task, Node n) {
        n.takeStart();
        n.idle = n.idle.minus(job.spec.need());
        if (job.spec.need().gpus() == 0) {
            n.taken = n.taken.plus(job.spec.need());
        }
        ops.add(new Op(task, n, false));
    }

    /** Reserves room that is being released for a task. */
    public void pipeline(int task, Node n) {
        n.pipelined = n.pipelined.plus(job.spec.need());
        ops.add(new Op(task, n, true));
    }

    /** What has been tried so far, in order. */
    public List<Op> ops() {
        return ops;
    }

    /** How many tasks have been given idle room. */
    public int allocated() {
        int k = 0;
        for (Op o : ops) {
            if (!o.pipelined()) {
                k++;
            }
        }
        return k;
    }

    /** Ready: every task the job needs at once has its room now. */
    public boolean ready(int least) {
        return allocated() >= least;
    }

    /** Pipelined: placed and pipelined tasks together reach the least. */
    public boolean pipelined(int least) {
        return ops.size() >= least;
    }

    /**
     * Keeps a pipelined job's whole statement as reservations. Idle room that some tasks found is reserved too, or
     * the gang would start over when the last task's room comes free.
     */
    public List<Reservation> reserve() {
        List<Reservation> l = new ArrayList<>();
        for (Op o : ops) {
            if (!o.pipelined()) {
                o.node().giveStartBack();
                o.node().idle = o.node().idle.plus(job.spec.need());
                o.node().pipelined = o.node().pipelined.plus(job.spec.need());
            }
            l.add(new Reservation(o.task(), o.node().machine.name));
        }
        return l;
    }

    /** Gives back all room that was taken. */
    public void discard() {
        for (int i = ops.size() - 1; i >= 0; i--) {
            Op o = ops.get(i);
            if (o.pipelined()) {
                o.node().pipelined = o.node().pipelined.minus(job.spec.need());
            } else {
                o.node().giveStartBack();
                o.node().idle = o.node().idle.plus(job.spec.need());
            }
        }
        ops.clear();
    }
}
