package org.mountlug.core.model;

import java.util.List;

/** A worker's report; of two, the one with the larger (session, sequence) is newer. */
public record Report(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long sequence,
        long token,
        double recallS,
        List<Item> tasks) {
    /** One attempt on the machine. */
    public record Item(String job, int task, long attempt, TaskState state, Cause cause, boolean saved) {}

    /** Whether it was made after the report of this session and sequence. */
    public boolean newerThan(long s, long q) {
        return session > s || session == s && sequence > q;
    }
}
