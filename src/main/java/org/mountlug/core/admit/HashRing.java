package org.mountlug.core.admit;

import it.unimi.dsi.fastutil.HashCommon;

/**
 * The ring on which each submission has a slot. The slot depends on the job's id alone, so it is the same at every
 * controller and for every repetition. A lap is one pass of a queue's cursor over all slots.
 */
public final class HashRing {
    /** Number of slots on the ring. */
    public static final int SLOTS = 1_000_000;

    private HashRing() {}

    /** Returns the slot of a job, from 0 to below {@link #SLOTS}. */
    public static int slotOf(String jobId) {
        return (int) Math.floorMod(HashCommon.murmurHash3((long) jobId.hashCode()), (long) SLOTS);
    }

    /**
     * Returns a number from 0 to below {@code bound} that depends on the job's id alone; retry times are spread by it.
     */
    public static int jitter(String jobId, int bound) {
        return (int) Math.floorMod(HashCommon.murmurHash3(~(long) jobId.hashCode()), (long) bound);
    }
}
