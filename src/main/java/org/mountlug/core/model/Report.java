package org.mountlug.core.model;

import java.util.List;

/** A worker's report; of two, the one with the larger (session, sequence) is newer. */
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
    /** One attempt on the machine. */
    public record AttemptStatus(
            String job, int task, long attempt, AttemptState state, ExitCause cause, boolean saved) {}

    /** Whether it was made after the report of this session and sequence. */
    public boolean isNewerThan(long otherSession, long otherSequence) {
        return session > otherSession || session == otherSession && sequence > otherSequence;
    }
}
