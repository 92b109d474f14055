package org.mountlug.store;

import java.util.Map;
import org.mountlug.wire.Fields;

/** What a controller writes down of the records that it reads, so that leaders know what they may write. */
public final class VersionCodec {
    /** The layout of records that this version reads: 2 has parts. */
    private static final int LAYOUT = 2;

    private static final String READS_LAYOUT = "layout";
    private static final String READS_ZONES = "zones";

    private VersionCodec() {}

    /** What a controller of this version writes of itself. */
    public static Map<String, Object> announcement() {
        return Fields.orderedMap(READS_LAYOUT, (long) LAYOUT, READS_ZONES, true);
    }

    /** Whether a controller that announced this reads records in parts. */
    public static boolean readsParts(Map<String, Object> announcement) {
        return Fields.getLong(announcement, READS_LAYOUT, 1) >= LAYOUT;
    }

    /** Whether a controller that announced this reads the record of the zones' state. */
    public static boolean readsZones(Map<String, Object> announcement) {
        return Fields.getBoolean(announcement, READS_ZONES);
    }
}
