package org.mountlug.store;

import java.util.Map;
import org.mountlug.wire.Fields;

/**
 * Encodes the announcement by which a controller states which records it can read, so that leaders know which ones
 * they may write.
 */
public final class VersionCodec {
    /** The record layout that this version reads; layout 2 has parts. */
    private static final int LAYOUT = 2;

    private static final String READS_LAYOUT = "layout";
    private static final String READS_ZONES = "zones";

    private VersionCodec() {}

    /** Returns the announcement of a controller of this version. */
    public static Map<String, Object> announcement() {
        return Fields.orderedMap(READS_LAYOUT, (long) LAYOUT, READS_ZONES, true);
    }

    /** Whether a controller with this announcement can read records in parts. */
    public static boolean readsParts(Map<String, Object> announcement) {
        return Fields.getLong(announcement, READS_LAYOUT, 1) >= LAYOUT;
    }

    /** Whether a controller with this announcement can read the record of the zones' state. */
    public static boolean readsZones(Map<String, Object> announcement) {
        return Fields.getBoolean(announcement, READS_ZONES);
    }
}
