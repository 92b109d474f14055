package org.mountlug.store;

/**
 * Keys in the state service. A constant that ends with a slash is a prefix that a name follows, any other is a whole
 * key.
 */
public final class StateKeys {
    /** The leader; the key is attached to the leader lease. */
    public static final String LEADER = "leader";
    /** Main records of live jobs, by job; each is the job's point of serialisation. */
    public static final String LIVE_JOBS = "j/";
    /** Record parts of live jobs, by job and number of the part. */
    public static final String RECORD_PARTS = "p/";
    /** Final records of finished jobs, by job. */
    public static final String FINAL_RECORDS = "f/";
    /** Reservations of gangs, by job. */
    public static final String RESERVATIONS = "r/";
    /** The machine types, for controllers that start while the cloud is down. */
    public static final String MACHINE_TYPES = "catalogue";
    /**
     * The first shard of the image index, which lists the images of each machine. The production version reads only
     * this one.
     */
    public static final String IMAGE_INDEX = "images";
    /** The other shards of the image index, by number. */
    public static final String IMAGE_INDEX_SHARDS = "i/";
    /** What each controller can read, by the controller's label. */
    public static final String VERSIONS = "v/";
    /**
     * The number of worker reports that came to a follower that cannot reach the leader directly, by the follower's
     * label.
     */
    public static final String REPORT_COUNTS = "h/";
    /** The zones' state, which the production version does not read. */
    public static final String ZONES = "zones";

    /** The records of the admission table, by number; the production version does not read them. */
    public static final String ADMISSION = "admission/";

    private StateKeys() {}

    /** Returns the key of a shard of the image index. */
    public static String imageIndexShard(int shard) {
        return shard == 0 ? IMAGE_INDEX : IMAGE_INDEX_SHARDS + shard;
    }
}
