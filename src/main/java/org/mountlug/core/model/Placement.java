package org.mountlug.core.model;

/**
 * One attempt of a task on a machine. It counts against the machine's capacity, the zone rules and the team's limit from
 * the decision to place it until the attempt is proven to have ended. Its start command may be sent only once
 * {@link Job#isDurable} is true for it.
 */
public final class Placement {
    public final Job job;
    public final int task;
    public final long attempt;
    public final String machine;
    public final String zone;
    /** The worker session that the start is meant for; a report of a later session proves that the attempt has ended. */
    public final long session;
    /** Version of the job that first contains this placement; 0 if an earlier leader decided it. */
    public final long version;
    /** Monotonic time in seconds at which the placement was decided. */
    public final double placedAtS;

    /** Sequence number of the report whose response carried the start command, -1 if none did. */
    public long startReportSequence = -1;
    /**
     * Whether the start command was sent directly to the worker and neither acknowledged nor refused. It may still take
     * effect as long as the worker's session lasts, so no report of that session proves that the attempt does not run.
     */
    public boolean startUnconfirmed;
    /** Monotonic time in seconds at which the start was sent directly to the worker, {@code NaN} if it was not. */
    public double directStartSentS = Double.NaN;
    /** Whether the stop was sent directly to the worker. */
    public boolean directStopSent;
    /** Number of times that a report lacked the attempt after a response to an earlier report had carried its start. */
    public int ignoredStarts;
    /**
     * Whether the placement waits for another task on the machine to end. It does not count against the machine's
     * capacity, and its start is sent once the capacity is free.
     */
    public boolean standby;
    /** Whether the worker has confirmed the attempt, in a report or in the response to a direct command. */
    public boolean reported;

    /** State that the worker reported last, null before the first report of the attempt. */
    public AttemptState state;
    /** Monotonic time in seconds at which the attempt was first reported as running, {@code NaN} if it was not. */
    public double runningSinceS = Double.NaN;
    /** Whether the attempt must stop. */
    public boolean stopping;
    /** Whether the attempt is a replica that needs another machine because its own is about to be lost. */
    public boolean relocating;

    /** Seconds to save its state that the attempt has from the stop command on. */
    public double gracePeriodS;

    /** Creates an attempt that the job contains as of {@code version} and that has not been started. */
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

    /** Requests a stop with this grace period in seconds; of several the shortest counts, and a stop cannot be undone. */
    public void requestStop(double newGracePeriodS) {
        if (!stopping || newGracePeriodS < gracePeriodS) {
            gracePeriodS = newGracePeriodS;
        }
        stopping = true;
    }

    /** Returns the name of the task in messages, such as {@code wk-000001/0}. */
    public String taskName() {
        return job.spec.taskName(task);
    }
}
