package org.mountlug.core.admit;

import it.unimi.dsi.fastutil.HashCommon;

/**
 * The ring on which submissions have their places. A place depends on the job's id alone, so it is the same at every
 * controller and for every repetition.
 */
public final class HashRing {
    /** Places on the ring. */
    public static final int SLOTS = 1_000_000;

    private HashRing() {}

    /** The place of a job, from 0 to below {@link #SLOTS}. */
    public static int slotOf(String jobId) {
        return (int) Math.floorMod(HashCommon.murmurHash3((long) jobId.hashCode()), (long) SLOTS);
    }

    /** A number from 0 to below {@code bound}, the same for the same job, by which answers are spread in time. */
    public static int jitter(String jobId, int bound) {
        return (int) Math.floorMod(HashCommon.murmurHash3(~(long) jobId.hashCode()), (long) bound);
    }
}
