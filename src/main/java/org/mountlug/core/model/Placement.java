package org.mountlug.core.model;

/**
 * One attempt of a task on a machine. It holds its place, its zone and its team's quota from the moment it is decided
 * until it is proven gone; whether a start command may leave depends on {@link Job#isDurable}.
 */
public final class Placement {
    public final Job job;
    public final int task;
    public final long attempt;
    public final String machine;
    public final String zone;
    /** The worker's session that the start was meant for: a later one proves the attempt gone. */
    public final long session;
    /** Version of the job's record that first holds this placement. */
    public final long version;
    /** Steady seconds at which it was decided. */
    public final double placedAtS;

    /** Sequence of the report whose answer carried the start, or -1 while none did. */
    public long startReportSequence = -1;
    /**
     * Whether its start was sent directly to the worker and no answer tells what became of it: it may yet take effect
     * for as long as the worker's session lasts, so no report of that session proves that it is not there.
     */
    public boolean startUnconfirmed;
    /** Steady seconds at which its start was sent directly to the worker, NaN if it was not. */
    public double directStartSentS = Double.NaN;
    /** Whether its stop was sent directly to the worker. */
    public boolean directStopSent;
    /** How many reports lacked it after its start had left. */
    public int ignoredStarts;
    /** Whether it waits for another task to end: it is durable but takes no room, and its start waits for the room. */
    public boolean standby;
    /** Whether a report showed the attempt. */
    public boolean reported;

    public AttemptState state;
    /** Steady seconds when first reported running, or NaN. */
    public double runningSinceS = Double.NaN;
    /** Whether it is to stop, and with how many seconds to save. */
    public boolean stopping;
    /** Whether it is a replica whose machine is about to go, and needs another. */
    public boolean relocating;

    public double gracePeriodS;

    /** An attempt that stands in the job as of {@code version} and has not been started. */
    public Placement(
            Job job,
            int task,
            long attempt,
            String machine,
            String zone,
            long session,
            long version,
            double placedAtS) {
        this.job = job;
        this.task = task;
        this.attempt = attempt;
        this.machine = machine;
        this.zone = zone;
        this.session = session;
        this.version = version;
        this.placedAtS = placedAtS;
    }

    /** Decides that it must stop, with so many seconds to save; a stop is never taken back. */
    public void requestStop(double newGracePeriodS) {
        if (!stopping || newGracePeriodS < gracePeriodS) {
            gracePeriodS = newGracePeriodS;
        }
        stopping = true;
    }

    /** The name of its task on the wire. */
    public String taskName() {
        return job.spec.taskName(task);
    }
}
