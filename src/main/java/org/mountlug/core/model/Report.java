package org.mountlug.core.model;

import java.util.List;

/**
 * A worker's report; of two reports of a machine, the one with the larger (session, sequence) is newer.
 *
 * @param machine name of the machine
 * @param address address at which the worker accepts direct commands
 * @param machineType name of the machine type
 * @param spot whether the machine is a spot machine
 * @param session number of the worker process's session
 * @param sequence number of the report; later reports of the same session have higher numbers
 * @param token highest fencing token that the worker has seen
 * @param reclaimInS seconds until the cloud reclaims the machine, {@code NaN} while no reclaim is announced
 */
public record Report(
        String machine,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long session,
        long sequence,
        long token,
        double reclaimInS,
        List<AttemptStatus> attempts) {
    /**
     * The state of one attempt on the machine.
     *
     * @param jobId the id of the job
     * @param saved whether the task saved its state before it exited
     */
    public record AttemptStatus(
            String jobId, int task, long attempt, AttemptState state, ExitCause cause, boolean saved) {}

    /** Whether this report was made after the report with the given session and sequence. */
    public boolean isNewerThan(long otherSession, long otherSequence) {
        return session > otherSession || session == otherSession && sequence > otherSequence;
    }
}
