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
 * Encodes the record of the zones' state, from which a new leader resumes the handling of a lost or returning zone.
 * The record has epoch times; a {@link ZoneSnapshot} has ages.
 */
public final class ZoneCodec {
    private static final String ZONES = "z";
    private static final String NAME = "n";
    private static final String STATE = "s";
    private static final String LOSSES = "l";
    private static final String STATE_SINCE = "t";
    private static final String ABSENT_SINCE = "b";
    private static final String LOSS_AT = "a";
    private static final String MAX_SILENT_MACHINES = "d";
    private static final String WINDOW = "w";
    /** Characters of an entry in addition to its zone's name, as an upper estimate. */
    private static final int ENTRY_OVERHEAD_CHARS = 110;

    private ZoneCodec() {}

    /**
     * Returns the record of the zones. If not all fit into {@code maxChars} characters, zones that are present are
     * left out first.
     */
    public static Map<String, Object> write(List<ZoneSnapshot> zones, long nowMs, int maxChars) {
        List<ZoneSnapshot> sorted = new ArrayList<>(zones);
        sorted.sort(Comparator.comparing((ZoneSnapshot zone) -> zone.state() == ZoneState.PRESENT)
                .thenComparing(ZoneSnapshot::zone));
        List<Object> entries = new ArrayList<>();
        int recordChars = 0;
        for (ZoneSnapshot zone : sorted) {
            recordChars += ENTRY_OVERHEAD_CHARS + zone.zone().length();
            if (recordChars > maxChars) {
                break;
            }
            entries.add(writeEntry(zone, nowMs));
        }
        return Map.of(ZONES, entries);
    }

    private static Map<String, Object> writeEntry(ZoneSnapshot zone, long nowMs) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put(NAME, zone.zone());
        entry.put(STATE, (long) zone.state().ordinal());
        entry.put(LOSSES, (long) zone.recentLosses());
        entry.put(STATE_SINCE, sinceMs(zone.stateAgeS(), nowMs));
        entry.put(ABSENT_SINCE, sinceMs(zone.absentAgeS(), nowMs));
        entry.put(LOSS_AT, sinceMs(zone.lossAgeS(), nowMs));
        entry.put(MAX_SILENT_MACHINES, (long) zone.maxSilentMachines());
        entry.put(WINDOW, zone.window());
        return entry;
    }

    private static long sinceMs(double ageS, long nowMs) {
        return nowMs - Math.round(ageS * 1000);
    }

    /** Reads the zones; an entry without a name or with an unknown state is left out. */
    public static List<ZoneSnapshot> read(Map<String, Object> record, long nowMs) {
        List<ZoneSnapshot> zones = new ArrayList<>();
        for (Object element : Fields.getList(record, ZONES)) {
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
                    ageS(entry, ABSENT_SINCE, nowMs),
                    ageS(entry, LOSS_AT, nowMs),
                    (int) Fields.getLong(entry, MAX_SILENT_MACHINES, 0),
                    Fields.getDouble(entry, WINDOW, 0)));
        }
        return zones;
    }

    private static double ageS(Map<String, Object> entry, String field, long nowMs) {
        return Math.max(0, (nowMs - Fields.getLong(entry, field, nowMs)) / 1000.0);
    }
}
