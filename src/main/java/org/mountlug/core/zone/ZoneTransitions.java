package org.mountlug.core.zone;

import static org.mountlug.core.zone.ZoneState.LOST;
import static org.mountlug.core.zone.ZoneState.PRESENT;
import static org.mountlug.core.zone.ZoneState.RETURNING;
import static org.mountlug.core.zone.ZoneState.SUSPECT;

import java.util.EnumMap;
import java.util.Map;

/**
 * The table of a zone's state transitions. {@link ZoneTracker} decides how long evidence must last before a transition is
 * made; the entry and exit shares behind the evidence differ, so that a zone does not oscillate at one threshold.
 */
final class ZoneTransitions {
    private static final Map<ZoneState, Map<ZoneEvidence, ZoneState>> TABLE = new EnumMap<>(ZoneState.class);

    static {
        //              TOO_FEW  UNDECIDED  HEARD      MIXED      PARTLY_SILENT  SILENT
        row(PRESENT, PRESENT, PRESENT, PRESENT, PRESENT, SUSPECT, SUSPECT);
        row(SUSPECT, PRESENT, SUSPECT, PRESENT, SUSPECT, SUSPECT, LOST);
        row(LOST, PRESENT, LOST, RETURNING, RETURNING, LOST, LOST);
        row(RETURNING, PRESENT, RETURNING, PRESENT, RETURNING, RETURNING, LOST);
    }

    private ZoneTransitions() {}

    private static void row(ZoneState from, ZoneState... to) {
        Map<ZoneEvidence, ZoneState> row = new EnumMap<>(ZoneEvidence.class);
        for (ZoneEvidence evidence : ZoneEvidence.values()) {
            row.put(evidence, to[evidence.ordinal()]);
        }
        TABLE.put(from, row);
    }

    /** The state that evidence leads to, if it lasts. */
    static ZoneState next(ZoneState state, ZoneEvidence evidence) {
        return TABLE.get(state).get(evidence);
    }
}
