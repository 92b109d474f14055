package org.mountlug.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.zone.ZoneSnapshot;
import org.mountlug.core.zone.ZoneState;
import org.mountlug.wire.Fields;

/**
 * The record of the zones' state, by which a new leader goes on with a loss or a return. Times in it are times of day; a
 * snapshot has ages.
 */
public final class ZoneCodec {
    private static final String LIST = "z";
    private static final String NAME = "n";
    private static final String STATE = "s";
    private static final String LOSSES = "l";
    private static final String STATE_SINCE = "t";
    private static final String TROUBLE_SINCE = "b";
    private static final String LOSS_AT = "a";
    private static final String DISPLACED = "d";
    private static final String WINDOW = "w";
    /** Characters of an entry beside the name of its zone, reckoned high. */
    private static final int ENTRY_CHARS = 110;

    private ZoneCodec() {}

    /** Writes the zones; those that are present are left out first where not all would fit. */
    public static Map<String, Object> write(List<ZoneSnapshot> zones, long nowMs, int mostChars) {
        List<ZoneSnapshot> sorted = new ArrayList<>(zones);
        sorted.sort(Comparator.comparing((ZoneSnapshot zone) -> zone.state() == ZoneState.PRESENT)
                .thenComparing(ZoneSnapshot::zone));
        List<Object> list = new ArrayList<>();
        int size = 0;
        for (ZoneSnapshot zone : sorted) {
            size += ENTRY_CHARS + zone.zone().length();
            if (size > mostChars) {
                break;
            }
            list.add(entry(zone, nowMs));
        }
        return Map.of(LIST, list);
    }

    private static Map<String, Object> entry(ZoneSnapshot zone, long nowMs) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put(NAME, zone.zone());
        entry.put(STATE, (long) zone.state().ordinal());
        entry.put(LOSSES, (long) zone.recentLosses());
        entry.put(STATE_SINCE, since(zone.stateAgeS(), nowMs));
        entry.put(TROUBLE_SINCE, since(zone.absentAgeS(), nowMs));
        entry.put(LOSS_AT, since(zone.lossAgeS(), nowMs));
        entry.put(DISPLACED, (long) zone.maxSilentMachines());
        entry.put(WINDOW, zone.window());
        return entry;
    }

    private static long since(double ageS, long nowMs) {
        return nowMs - Math.round(ageS * 1000);
    }

    /** Reads the zones; an entry that nobody can read is left out. */
    public static List<ZoneSnapshot> read(Map<String, Object> record, long nowMs) {
        List<ZoneSnapshot> zones = new ArrayList<>();
        for (Object element : Fields.getList(record, LIST)) {
            Map<String, Object> entry = Fields.asMap(element);
            String name = Fields.getString(entry, NAME);
            long state = Fields.getLong(entry, STATE, -1);
            if (name == null || state < 0 || state >= ZoneState.values().length) {
                continue;
            }
            zones.add(new ZoneSnapshot(
                    name,
                    ZoneState.values()[(int) state],
                    (int) Fields.getLong(entry, LOSSES, 0),
                    ageS(entry, STATE_SINCE, nowMs),
                    ageS(entry, TROUBLE_SINCE, nowMs),
                    ageS(entry, LOSS_AT, nowMs),
                    (int) Fields.getLong(entry, DISPLACED, 0),
                    Fields.getDouble(entry, WINDOW, 0)));
        }
        return zones;
    }

    private static double ageS(Map<String, Object> entry, String field, long nowMs) {
        return Math.max(0, (nowMs - Fields.getLong(entry, field, nowMs)) / 1000.0);
    }
}
