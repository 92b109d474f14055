package org.mountlug.core.zone;

import static org.mountlug.core.zone.ZoneState.LOST;
import static org.mountlug.core.zone.ZoneState.PRESENT;
import static org.mountlug.core.zone.ZoneState.RETURNING;
import static org.mountlug.core.zone.ZoneState.SUSPECT;

import java.util.EnumMap;
import java.util.Map;

/**
 * The table of a zone's state transitions. {@link ZoneTracker} decides how long evidence must last before a transition is
 * made. The thresholds for entering and for leaving a state differ, so that a zone does not oscillate around one threshold.
 */
final class ZoneTransitions {
    private static final Map<ZoneState, Map<ZoneEvidence, ZoneState>> TABLE = new EnumMap<>(ZoneState.class);

    static {
        // Columns: TOO_FEW, UNDECIDED, REPORTING, PARTLY_SILENT, MOSTLY_SILENT, SILENT
        addRow(PRESENT, PRESENT, PRESENT, PRESENT, PRESENT, SUSPECT, SUSPECT);
        addRow(SUSPECT, PRESENT, SUSPECT, PRESENT, SUSPECT, SUSPECT, LOST);
        addRow(LOST, PRESENT, LOST, RETURNING, RETURNING, LOST, LOST);
        addRow(RETURNING, PRESENT, RETURNING, PRESENT, RETURNING, RETURNING, LOST);
    }

    private ZoneTransitions() {}

    private static void addRow(ZoneState from, ZoneState... to) {
        Map<ZoneEvidence, ZoneState> row = new EnumMap<>(ZoneEvidence.class);
        for (ZoneEvidence evidence : ZoneEvidence.values()) {
            row.put(evidence, to[evidence.ordinal()]);
        }
        TABLE.put(from, row);
    }

    /** Returns the state that the evidence leads to if it lasts. */
    static ZoneState next(ZoneState state, ZoneEvidence evidence) {
        return TABLE.get(state).get(evidence);
    }
}
