package org.mountlug.store;

/** Keys in the state service: a prefix where a name follows, else the whole key. */
public final class StateKeys {
    /** The leader, on its lease. */
    public static final String LEADER = "leader";
    /** Live jobs, by job; each record is the job's point of serialisation. */
    public static final String LIVE_JOBS = "j/";
    /** Parts of live jobs, by job and number. */
    public static final String RECORD_PARTS = "p/";
    /** Jobs that are over, by job. */
    public static final String FINAL_RECORDS = "f/";
    /** Reservations of gangs, by job. */
    public static final String RESERVATIONS = "r/";
    /** The machine types, for controllers that start while the cloud is down. */
    public static final String CATALOGUE = "catalogue";
    /** Which machine has which image: the first note, which is the only one that production knows. */
    public static final String IMAGE_INDEX = "images";
    /** The further notes, by number. */
    public static final String IMAGE_INDEX_SHARDS = "i/";
    /** What each controller can read, by its label. */
    public static final String VERSIONS = "v/";
    /** How many workers' reports come to a follower that cannot tell the leader itself, by its label. */
    public static final String REPORT_COUNTS = "h/";
    /** The zones' state, which production does not know. */
    public static final String ZONES = "zones";

    /** The admission table, by number of its record, which production does not know. */
    public static final String ADMISSION = "admission/";

    private StateKeys() {}

    /** The key of a note of images. */
    public static String imageIndexShard(int shard) {
        return shard == 0 ? IMAGE_INDEX : IMAGE_INDEX_SHARDS + shard;
    }
}
